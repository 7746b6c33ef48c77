package work

// Settings of a scheduler and their parts.
type (
	// Limits bound the jobs that are accepted; 0 is no limit.
	Limits struct {
		Jobs      int   // of all
		Bytes     int64 // of all
		OwnerJobs int   // of one owner
		Depth     int   // jobs made by jobs made by jobs
		Running   int   // slices at once
	}
	// Rate is how much may be used: tokens a second, and how many may be saved up. No rate: no bound.
	Rate struct {
		PerSecond float64
		Burst     float64
	}
	// Rates are those of all currencies.
	Rates [Currencies]Rate
	// Kind is what is known of a kind of jobs.
	Kind struct {
		Rates   Rates   // guaranteed to it
		Running int     // slices at once; 0: as many as there may be
		Window  *Window // it runs only within; nil: always
		Retry   Retry
	}
	// Settings are all of a scheduler's.
	Settings struct {
		Limits  Limits
		Rates   Rates              // of all work together, scaled by what pressure leaves
		Owners  Rates              // of each owner
		Weights map[string]float64 // of owners; 1 for all others
		Kinds   map[string]Kind
		Breaker Breaker
	}
)
