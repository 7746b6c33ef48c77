package turnstore

import "dockshift.example/dockshift/internal/tier/tiertest/observer"

// reporter is what the checks of this package report to: a test, or the observer of a planted fault.
type reporter = observer.Reporter
