package gateway

import (
	"strconv"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// budgetHeader is the header with the tokens that all turns of a program together may generate.
const budgetHeader = "Budget"

// reservation is the open reservation of a turn in its program's budget, at the program's turn store. It is ended exactly once: by release
// or releaseInBackground with the tokens that the client may have received, or by clientRequest.storeTurn. The methods of a nil reservation
// do nothing.
type reservation struct {
	request *clientRequest
	program string
}

// release releases the reservation before the client is answered; see clientRequest.release.
func (reservation *reservation) release(tokens uint64) {
	if reservation != nil {
		reservation.request.release(reservation.program, tokens)
	}
}

// releaseInBackground releases the reservation without waiting for the turn store.
func (reservation *reservation) releaseInBackground(tokens uint64) {
	if reservation != nil {
		reservation.request.releaseInBackground(reservation.program, tokens)
	}
}

// needsTurnStore reports whether a streamed request is charged to a budget or stored. The turn store must be called before such a
// request is sent to an endpoint.
func (request *clientRequest) needsTurnStore() bool {
	return request.route.Persisted || request.exchange.Header.Get(budgetHeader) != ""
}

// program returns the program whose budget a turn is charged to. A turn that names no program is a program of its own.
func (request *clientRequest) program() string {
	if program := request.exchange.Header.Get("Program"); program != "" {
		return program
	}
	return request.attemptID
}

// readBudget reads the Budget of the turn's program, in tokens, into begin.
func (request *clientRequest) readBudget(begin *tierv1.BeginRequest) error {
	header := request.exchange.Header.Get(budgetHeader)
	if header == "" {
		return nil
	}
	budget, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return errInvalidBudget
	}
	if request.maxTokens == 0 {
		return errBudgetWithoutMaxTokens
	}
	begin.Limited, begin.Budget = true, budget
	return nil
}
