package work

// Settings of a scheduler and their parts.
type (
	// Limits bound the jobs that are accepted; 0 is no limit.
	Limits struct {
		Jobs      int   // in total
		Bytes     int64 // in total
		OwnerJobs int   // of one owner
		Depth     int   // of Job.Depth
		Running   int   // concurrent slices
	}
	// Rate is a token bucket's refill rate, in tokens a second, and its capacity. The zero Rate sets no bound.
	Rate struct {
		PerSecond float64
		Burst     float64
	}
	// Rates has a Rate for each currency.
	Rates [Currencies]Rate
	// Kind has the settings of one kind of jobs.
	Kind struct {
		Rates   Rates   // guaranteed to the kind
		Running int     // concurrent slices; 0: only Limits.Running applies
		Window  *Window // slices start only within it; nil: at any time
		Retry   Retry
	}
	// Settings has all settings of a scheduler.
	Settings struct {
		Limits  Limits
		Rates   Rates              // of all work together, scaled by the allowance that pressure leaves
		Owners  Rates              // of each owner
		Weights map[string]float64 // of owners; 1 for all others
		Kinds   map[string]Kind
		Breaker Breaker
	}
)
