package wasabievent

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// sendings is how often the record of a server is sent to the other instances, with
	// sendingInterval in between, since an update may be lost. It is not repeated once it is known
	// that the servers skip identifiers.
	sendings        = 3
	sendingInterval = wasabiridge.Second
	// maxConsecutive bounds the servers of an update whose streams do not skip identifiers, and
	// maxSnapshot all servers of a snapshot.
	maxConsecutive = 16
	maxSnapshot    = 64
)

// sending is a record that is sent to the other instances left more times, the next time at next.
type sending struct {
	left int
	next wasabiridge.Millis
}

// send has the record of a server sent to the other instances.
func (n *Numbering) send(server string) {
	if n.sendings == nil {
		n.sendings = map[string]sending{}
	}
	n.sendings[server] = sending{left: sendings}
}

// introduce has the other instances informed once of a server that is not known here.
//
// The failure it guards against: the first streams that all instances read after their start are
// those of faulty servers, and these are taken for all.
func (n *Numbering) introduce(server string) {
	if _, ok := n.sendings[server]; !ok {
		n.send(server)
		n.sendings[server] = sending{left: 1}
	}
}

// TakeUpdate returns the records that are due to be sent to the other instances, and whether there
// are any. With servers that skip identifiers go some that do not, so that a few are not taken for
// all.
func (n *Numbering) TakeUpdate(now wasabiridge.Millis) (wasabiridge.NumberingUpdate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.sendings) == 0 {
		return wasabiridge.NumberingUpdate{}, false
	}
	var names []string
	consecutive, known := 0, n.skipsCommonly()
	for name, s := range n.sendings {
		record := n.servers[name]
		if record == nil || s.left == 0 || known && s.left < sendings {
			delete(n.sendings, name)
			continue
		}
		if now < s.next || len(names) >= maxSnapshot {
			continue
		}
		names = append(names, name)
		n.sendings[name] = sending{left: s.left - 1, next: now + sendingInterval}
		if record.skips() {
			consecutive = maxConsecutive
		}
	}
	if len(names) == 0 {
		return wasabiridge.NumberingUpdate{}, false
	}
	return n.update(names, consecutive), true
}

// Snapshot returns the records of the servers that ended streams lately, and whether there are any.
func (n *Numbering) Snapshot() (wasabiridge.NumberingUpdate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name, s := range n.servers {
		if s.skips() && n.counts(s) && len(names) < maxSnapshot {
			names = append(names, name)
		}
	}
	u := n.update(names, maxSnapshot-len(names))
	return u, len(u.Servers) > 0
}

// update returns the records of the named servers, and of some whose streams do not skip
// identifiers, those that ended one last.
func (n *Numbering) update(names []string, consecutive int) wasabiridge.NumberingUpdate {
	u := wasabiridge.NumberingUpdate{
		Largest: n.largest,
		Begins:  wasabiridge.StepCounts{All: n.begins.all, Skips: n.begins.skips},
		Steps:   wasabiridge.StepCounts{All: n.steps.all, Skips: n.steps.skips},
	}
	var others []string
	for name, s := range n.servers {
		if n.counts(s) && !s.skips() && !slices.Contains(names, name) {
			others = append(others, name)
		}
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(n.servers[b].endedAt, n.servers[a].endedAt), cmp.Compare(a, b))
	})
	slices.Sort(names)
	for _, name := range append(names, others[:min(len(others), consecutive)]...) {
		s := n.servers[name]
		u.Servers = append(u.Servers, wasabiridge.ServerNumbering{
			Backend: wasabiridge.BackendServerID(name), Proven: s.proven, Doubted: s.doubtful(),
		})
	}
	return u
}

// Receive applies an update of another instance. It returns what is known then, and whether that is
// more than before.
//
// The failure it guards against: each instance has to see streams of most servers cut before it
// knows that they skip identifiers, and one that sees few streams never knows it.
func (n *Numbering) Receive(u wasabiridge.NumberingUpdate) (wasabiridge.NumberingEvidence, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := false
	for _, r := range u.Servers {
		news = n.receive(string(r.Backend), r) || news
	}
	if news {
		n.largest = max(n.largest, u.Largest)
		if n.begins.all+n.steps.all == 0 {
			n.begins = stepCount{all: u.Begins.All, skips: u.Begins.Skips}
			n.steps = stepCount{all: u.Steps.All, skips: u.Steps.Skips}
		}
		n.notify()
	}
	t := n.count()
	return wasabiridge.NumberingEvidence{Score: n.score, Servers: t.servers, Skipping: t.skipping, Doubted: t.doubted}, news
}

// receive applies what another instance knows of a server, and reports whether that is more than
// was known. What the server itself has sent here goes first.
func (n *Numbering) receive(name string, r wasabiridge.ServerNumbering) bool {
	s := n.server(name)
	switch {
	case s.distrusted > 0:
	case r.Proven && !s.proven:
		s.settle(true, provenAfter)
		n.touch(s)
		n.takeBack()
		return true
	case r.Doubted > s.doubted && !s.settled():
		s.doubted, s.consecutive = min(r.Doubted, minDoubted), 0
		n.touch(s)
		return true
	case !n.counts(s):
		n.touch(s)
	}
	return false
}

// touch counts a server as one that ended a stream lately. The last ends are those of this instance.
func (n *Numbering) touch(s *serverNumbering) {
	n.ends++
	s.endedAt = n.ends
}

// notify wakes those that wait until more is known.
func (n *Numbering) notify() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// change returns a channel that is closed when more is known.
func (n *Numbering) change() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}
