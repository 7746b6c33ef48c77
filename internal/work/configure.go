package work

import (
	"container/list"
	"time"
)

func (s *Scheduler) configure(set Settings) {
	for i := range s.totalBudget {
		level := s.totalBudget[i].level
		s.totalBudget[i] = bucket{rate: set.Rates[i], level: min(level, set.Rates[i].Burst), updatedAt: s.now}
	}
	s.settings = set
	for name := range set.Kinds {
		s.kind(name)
	}
	for _, k := range s.kinds {
		s.setKind(k)
	}
	for _, o := range s.owners {
		o.weight = s.weight(o.name)
		for i := range o.budget {
			o.budget[i] = bucket{rate: set.Owners[i], level: min(o.budget[i].level, set.Owners[i].Burst), updatedAt: s.now}
		}
	}
}

func (s *Scheduler) weight(name string) float64 {
	if w := s.settings.Weights[name]; w > 0 {
		return w
	}
	return 1
}

func (s *Scheduler) setKind(k *kind) {
	k.Kind, k.known = s.settings.Kinds[k.name]
	if k.Retry == (Retry{}) {
		k.Retry = DefaultRetry()
	}
	old := k.budget
	k.budget = newBuckets(k.Rates, s.now)
	if old != nil {
		for i := range k.budget {
			k.budget[i].level = min(old[i].level, k.Rates[i].Burst)
		}
	}
	k.windowOpensAt = 0
}

func (s *Scheduler) kind(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, waiting: list.New(), creditUpdatedAt: s.now}
		s.setKind(k)
		k.retryBudget.credit = max(k.Retry.Credit, 1)
		s.kinds[name] = k
	}
	return k
}

func (s *Scheduler) owner(name string) *owner {
	o := s.owners[name]
	if o == nil {
		o = &owner{name: name, weight: s.weight(name), virtualTime: s.virtualTime, budget: newBuckets(s.settings.Owners, s.now), idleIndex: -1}
		s.owners[name] = o
	}
	return o
}

type kind struct {
	name string
	Kind
	known           bool
	budget          *buckets
	running         int
	paused          bool
	windowOpensAt   time.Duration // when its window opens, set while that is closed
	retryBudget     retryBudget
	creditUpdatedAt time.Duration
	waiting         *list.List // jobs that wait for retry credit
	used            Cost
}
