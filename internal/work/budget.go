package work

// refillBuckets refills the token buckets. What a kind does not use overflows into the pool, which holds up to a second of the total
// budget.
func (s *Scheduler) refillBuckets() {
	for i := range s.totalBudget {
		s.totalBudget[i].fill(s.now, s.allowance)
	}
	for _, k := range s.kinds {
		for i := range k.budget {
			if overflow := k.budget[i].fill(s.now, s.allowance); overflow > 0 && s.allowance == 1 {
				s.pool[i] = min(s.pool[i]+overflow, s.settings.Rates[i].PerSecond)
			}
		}
		if d := s.now - k.creditUpdatedAt; d > 0 {
			k.retryBudget.credit = min(k.retryBudget.credit+float64(d)/float64(creditInterval), max(k.Retry.Credit, 1))
			k.creditUpdatedAt = s.now
		}
	}
	for o := range s.throttledOwners {
		for i := range o.budget {
			o.budget[i].fill(s.now, 1)
		}
	}
}

// setAllowance sets the fraction of the budget that pressure leaves. Under any pressure the pool is emptied: no kind may use the unused
// budget of another any longer.
func (s *Scheduler) setAllowance(fraction float64) {
	s.allowance = min(max(fraction, 0), 1)
	if s.allowance < 1 {
		s.pool = [Currencies]float64{}
	}
}
