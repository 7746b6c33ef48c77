package gateway

import (
	"strconv"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// budgetHeader names the tokens that all turns of a program together may generate.
const budgetHeader = "Budget"

// reservation is the open reservation of a turn in its program's budget, at the program's turn store. Whoever holds one ends it
// exactly once: by release or releaseLater with what was handed out, or with the text of a turn that is kept.
type reservation struct {
	request *clientRequest
	program string
}

// release ends the reservation before the client hears of it; see clientRequest.release.
func (account *reservation) release(tokens uint64) {
	if account != nil {
		account.request.release(account.program, tokens)
	}
}

// releaseInBackground ends the reservation behind the request.
func (account *reservation) releaseInBackground(tokens uint64) {
	if account != nil {
		account.request.releaseInBackground(account.program, tokens)
	}
}

// needsTurnStore reports whether a streamed request is charged to a budget or goes on from a kept turn: a turn store is asked
// before it is sent.
func (request *clientRequest) needsTurnStore() bool {
	return request.route.Persisted || request.x.Header.Get(budgetHeader) != ""
}

// program is the program whose budget a turn is charged to. A turn that names none is one of its own.
func (request *clientRequest) program() string {
	if program := request.x.Header.Get("Program"); program != "" {
		return program
	}
	return request.attemptID
}

// readBudget reads the Budget of the turn's program, in tokens; where it cannot stand, it gives the problem.
func (request *clientRequest) readBudget(begin *tierv1.BeginRequest) (problem string) {
	header := request.x.Header.Get(budgetHeader)
	if header == "" {
		return ""
	}
	budget, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return "Budget is no number of tokens\n"
	}
	if request.maxTokens == 0 {
		return "a Budget without the turn's most in X-Token-Usage\n"
	}
	begin.Limited, begin.Budget = true, budget
	return ""
}
