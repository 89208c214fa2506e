package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// incarnations are the incarnations of the instances in the membership view.
type incarnations map[wasabiridge.InstanceID]wasabiridge.Incarnation

// hasEnded reports whether the instance is now in another incarnation. Repeats of
// a request that the ended incarnation held are then answered "outcome unknown" at
// once instead of "still running". It has no other effect.
func (l incarnations) hasEnded(id wasabiridge.InstanceID, incarnation wasabiridge.Incarnation) bool {
	now, ok := l[id]
	return ok && now != incarnation
}

func incarnationsOf(members []wasabiridge.Member) incarnations {
	l := make(incarnations, len(members))
	for _, m := range members {
		// An instance that is only listed as a seed has incarnation zero.
		if m.Incarnation != 0 {
			l[m.ID] = m.Incarnation
		}
	}
	return l
}

// members returns the instances in the membership view, or nil without one.
func (k *Controller) members() []wasabiridge.Member {
	if k.options.Members == nil {
		return nil
	}
	return k.options.Members()
}

// instances returns the number of instances that share the table's writes, this
// one included.
func (k *Controller) instances(members []wasabiridge.Member) int {
	if k.options.InstanceCount != nil {
		return k.options.InstanceCount()
	}
	n := 1
	for _, m := range members {
		if m.ID != k.options.Self {
			n++
		}
	}
	return n
}

// locate returns the peer address of a ticket's issuer. Without a peer client there
// is none, so that only the tickets of this instance are decided.
func (k *Controller) locate(issuer wasabiridge.InstanceID) (string, bool) {
	if k.options.Peers == nil {
		return "", false
	}
	if k.options.PeerAddress != nil {
		return k.options.PeerAddress(issuer)
	}
	for _, m := range k.members() {
		if m.ID == issuer && m.PeerAddress != "" {
			return m.PeerAddress, true
		}
	}
	return "", false
}
