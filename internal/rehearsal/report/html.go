package report

import (
	"io"

	"dockshift.example/dockshift/internal/rehearsal/judge"
)

// HTML writes the report.
func HTML(w io.Writer, v judge.Report, s Summary) error { return nil }
