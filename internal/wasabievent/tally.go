package wasabievent

// tally counts servers that are trusted and ended streams lately: those whose identifiers skip
// others, those of which such streams were taken for whole, and the streams that were not.
type tally struct {
	servers, skipping, settled, doubted int
	// least is the number of servers that are not just the faulty ones of the pool.
	least int
	// fromBefore counts the servers with streams that began before the first identifier, and
	// beforeEnds these streams.
	fromBefore, beforeEnds int
}

// isCommon reports whether a number of servers is so large a part of all that they are not just
// the faulty ones: more than three quarters, or many of them and more than a quarter.
func (t tally) isCommon(servers int) bool {
	return 4*servers > 3*t.servers || servers >= manyServers && 4*servers > t.servers
}

// isDoubtedCommonly reports whether the servers skip identifiers by the streams that were
// rejected for that. It takes more of them while so few servers have ended streams that all may be
// faulty.
func (t tally) isDoubtedCommonly() bool {
	return t.isCommon(t.skipping) && t.doubted >= minDoubted*(1+max(0, t.least-t.skipping))
}

// counts reports whether a server is trusted and ended a stream lately.
func (n *Numbering) counts(s *serverNumbering) bool {
	return s.endedAt > 0 && n.ends-s.endedAt <= currentEnds && s.distrusted == 0
}

// least returns how many servers are not just the faulty ones. While others of the pool have ended
// no stream, those that were seen first may be.
func (n *Numbering) least() int { return min(maxFaulty+1, n.listed) }

func (n *Numbering) count() tally {
	t := tally{least: n.least()}
	for _, s := range n.servers {
		if !n.counts(s) {
			continue
		}
		t.servers++
		t.doubted += s.doubted
		if s.settled() {
			t.settled++
		}
		if s.skips() {
			t.skipping++
		}
	}
	return t
}

// countRecent counts the last ends only. It sees a change at many servers before all of them have
// shown it.
func (n *Numbering) countRecent() tally {
	t := tally{least: n.least()}
	all, skipping, before := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, end := range n.recent {
		if !end.counted {
			continue
		}
		all[end.server] = true
		if end.skips {
			skipping[end.server] = true
		}
		if end.doubted {
			t.doubted++
		}
		if end.fromBefore {
			before[end.server] = true
			t.beforeEnds++
		}
	}
	t.servers, t.skipping, t.fromBefore = len(all), len(skipping), len(before)
	return t
}
