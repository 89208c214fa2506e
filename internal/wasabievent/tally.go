package wasabievent

// tally counts servers that are trusted and ended streams lately: those whose identifiers skip
// others, those of which such streams were taken for whole, and the streams that were not.
type tally struct {
	servers, skipping, settled, doubted int
	// least is the number of servers of the pool that are not just the faulty ones.
	least int
	// fromBefore counts the servers with streams that began before the first identifier, and
	// beforeEnds these streams.
	fromBefore, beforeEnds int
}

// isCommon reports whether a number of servers is so large a part of all that they are not just
// the faulty ones: more than three quarters, or many of them and more than a quarter.
func (t tally) isCommon(servers int) bool {
	return servers >= t.least && 4*servers > 3*t.servers || servers >= manyServers && 4*servers > t.servers
}

// isDoubtedCommonly reports whether the servers skip identifiers by the streams that were
// rejected for that.
func (t tally) isDoubtedCommonly() bool { return t.isCommon(t.skipping) && t.doubted >= minDoubted }

// counts reports whether a server is trusted and ended a stream lately.
func (n *Numbering) counts(s *serverNumbering) bool { return n.isRecent(s) && s.distrusted == 0 }

func (n *Numbering) isRecent(s *serverNumbering) bool {
	return s.endedAt > 0 && n.ends-s.endedAt <= currentEnds
}

// least returns how many trusted servers are not just the faulty ones. Those that were seen first may
// be, while others of the pool have ended no stream.
func (n *Numbering) least() int {
	least := min(maxFaulty+1, n.listed)
	for _, s := range n.servers {
		if s.distrusted > 0 && n.isRecent(s) {
			least--
		}
	}
	return least
}

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
