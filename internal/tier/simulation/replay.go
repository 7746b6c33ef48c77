package simulation

import (
	"bytes"
)

// Failure is a script that broke a rule.
type Failure struct {
	Script         Script
	Violation      *Violation
	Trace          []byte // of the play
	SimulatorError string // error text of the simulator itself; empty: none
}

// errorText returns the text of an error, or "".
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// playTraced plays a script and keeps its trace.
func playTraced(script Script, options Options) (Result, []byte, error) {
	var trace bytes.Buffer
	options.Trace = &trace
	result, err := Play(script, options)
	return result, trace.Bytes(), err
}

// Replay plays a script until a rule is broken or the simulator fails, at most the given number of times. It returns the last play.
func Replay(script Script, options Options, times int) Failure {
	var f Failure
	for range times {
		result, trace, err := playTraced(script, options)
		f = Failure{script, result.Violation, trace, errorText(err)}
		if f.Violation != nil || err != nil {
			break
		}
	}
	return f
}
