package judge

import "errors"

var (
	errNoFigures = errors.New("the event world has no figures")
	errNoWorld   = errors.New("the log has no event world: nothing says what the rules' figures are")
)
