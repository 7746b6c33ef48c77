package judge

import "errors"

var (
	errNoFigures = errors.New("the world event has no figures")
	errNoWorld   = errors.New("the log has no world event, which defines the figures of the rules")
)
