package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// newestView returns the newest view that this replica accepted or knows to be chosen. If there is none, it returns the genesis view in a
// folder that was created at the first start, else nil.
func (r *replica) newestView() *tierv1.View {
	if view := newestOf(r.accepted, r.chosen); view != nil {
		return view
	}
	return r.genesisView()
}

// newestChosenView is the newest view known to be chosen, the genesis view included; nil if there is none.
func (r *replica) newestChosenView() *tierv1.View {
	if r.chosen != nil {
		return r.chosen
	}
	return r.genesisView()
}

// genesisView is the view of epoch 0 that names the seeds; nil in a folder that was not created at the first start.
func (r *replica) genesisView() *tierv1.View {
	if !r.Genesis {
		return nil
	}
	view := &tierv1.View{}
	for _, address := range r.Seeds {
		view.Members = append(view.Members, &tierv1.Member{Address: address})
	}
	return view
}

// learnChosen records a view that another node knows to be chosen. A chosen view is final, so it may be learned from any node.
func (r *replica) learnChosen(view *tierv1.View) {
	if view == nil || view.Epoch <= epochOf(r.chosen) {
		return
	}
	r.chosen = view
	r.highestEpoch = max(r.highestEpoch, view.Epoch)
	r.persist(encodeMessage(kindChosen, view), false)
	r.actions.changed = true
	if r.primary != nil && view.Epoch > r.primary.view.Epoch {
		r.stepDown("deposed")
	}
	if r.proposal != nil && view.Epoch >= r.proposal.epoch && r.proposal.epoch > 0 {
		r.abandonProposal("deposed")
	}
}

// chosenMembers are the members of the newest chosen view known.
func (r *replica) chosenMembers() []*tierv1.Member {
	if view := r.newestChosenView(); view != nil {
		return view.Members
	}
	return nil
}

// isVoter reports whether this replica is one of the members.
func (r *replica) isVoter(members []*tierv1.Member) bool {
	return slices.ContainsFunc(members, func(v *tierv1.Member) bool {
		return isMember(v, r.Folder, r.self.Address, r.Genesis)
	})
}

// newestOf returns the view with the higher epoch; a if the epochs are equal, nil if both views are nil.
func newestOf(a, b *tierv1.View) *tierv1.View {
	if a == nil || b != nil && b.Epoch > a.Epoch {
		return b
	}
	return a
}

// epochOf is the epoch of a view; 0 for nil.
func epochOf(view *tierv1.View) uint64 {
	if view == nil {
		return 0
	}
	return view.Epoch
}

// isNamedIn reports whether a view names a folder as primary or backup.
func isNamedIn(view *tierv1.View, folder string) bool {
	return view != nil && (view.Primary == folder || slices.Contains(view.Backups, folder))
}
