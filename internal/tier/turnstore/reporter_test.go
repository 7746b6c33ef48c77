package turnstore

import (
	"saffronyard.example/saffronyard/internal/tier/tiertest/observer"
)

// reporter is what the checks of this package report to: a test, or the observer of a planted fault.
type reporter = observer.Reporter
