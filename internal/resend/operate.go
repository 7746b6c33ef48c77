package resend

import (
	"saffronyard.example/saffronyard/internal/undelivered"
)

// Plans returns which entries would be resent if an operator requested it, and why not the others. It changes nothing.
func (e *Engine) Plans(f undelivered.Filter) ([]undelivered.ResendPlan, error) {
	s, err := e.Store()
	if err != nil {
		return nil, err
	}
	plans, rules := []undelivered.ResendPlan{}, e.rules()
	err = s.List(f, func(k undelivered.Key, x undelivered.Entry) bool {
		c, why := undelivered.Choose(rules, &x, e.Window(x.Class), e.Wall().UnixNano(), true)
		plans = append(plans, undelivered.ResendPlan{Name: k.String(), Member: x.Member, WillResend: c == undelivered.ResendNow, Why: why})
		return true
	})
	return plans, err
}

// RequestResend requests the resend of entries, as far as it is permitted, or cancels that; n is how many entries that changed.
func (e *Engine) RequestResend(f undelivered.Filter, want bool) (n int, err error) {
	s, err := e.Store()
	if err != nil {
		return 0, err
	}
	var keys []undelivered.Key
	if err := s.List(f, func(k undelivered.Key, _ undelivered.Entry) bool { keys = append(keys, k); return true }); err != nil {
		return 0, err
	}
	n, err = s.RequestResend(keys, want)
	e.mu.Lock()
	e.generation++
	e.mu.Unlock()
	return n, err
}
