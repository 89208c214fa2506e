package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// lives are the incarnations of instances that were heard of.
type lives map[wasabiridge.InstanceID]wasabiridge.Incarnation

// isOver reports whether another life of the instance was heard of. Repeats of
// a request that the former life held hear "outcome unknown" at once instead of
// "still running". It decides on nothing else.
func (l lives) isOver(id wasabiridge.InstanceID, life wasabiridge.Incarnation) bool {
	now, ok := l[id]
	return ok && now != life
}

func livesOf(members []wasabiridge.Member) lives {
	l := make(lives, len(members))
	for _, m := range members {
		// An instance that is only listed has no known incarnation.
		if m.Incarnation != 0 {
			l[m.ID] = m.Incarnation
		}
	}
	return l
}

// members returns the known instances, or nil.
func (k *Keeper) members() []wasabiridge.Member {
	if k.options.Members == nil {
		return nil
	}
	return k.options.Members()
}

// instances returns how many instances share the writes of the table, this one
// included.
func (k *Keeper) instances(members []wasabiridge.Member) int {
	if k.options.Instances != nil {
		return k.options.Instances()
	}
	n := 1
	for _, m := range members {
		if m.ID != k.options.Self {
			n++
		}
	}
	return n
}

// locate returns where an issuer is reached. Without peers only the tickets of
// this instance are decided.
func (k *Keeper) locate(issuer wasabiridge.InstanceID) (string, bool) {
	if k.options.Peers == nil {
		return "", false
	}
	if k.options.Locate != nil {
		return k.options.Locate(issuer)
	}
	for _, m := range k.members() {
		if m.ID == issuer && m.PeerAddress != "" {
			return m.PeerAddress, true
		}
	}
	return "", false
}
