package wasabiquarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Parts of prompts. Popular ones are in many requests, rare ones in a request every two
// seconds.
const (
	firstPart, fatalPart, otherFatalPart, siblingPart wasabiridge.BlockHash = 1, 2, 3, 4
	popularParts, rareParts                           wasabiridge.BlockHash = 1000, 2000
)

// kinCount is the number of requests of the kin, and othersCount that of other requests, in
// a second.
const kinCount, othersCount = 20, 150

// partLoad sends requests to a fleet of which no two are alike.
type partLoad struct {
	fleet *fleet
	next  uint64
	// kin and others hold the requests without a fatal part.
	kin, others []wasabiridge.Fingerprint
}

// request returns a new request whose prompt begins with the given parts.
func (l *partLoad) request(parts ...wasabiridge.BlockHash) wasabiridge.Request {
	l.next++
	r := requestWith(wasabiridge.Fingerprint(1000 + l.next))
	own := wasabiridge.BlockHash(1e9 + l.next)
	return r.WithChain(wasabiridge.Chain{Root: wasabiridge.CacheRoot{Model: "m"}, Blocks: append(parts, own)})
}

// every sends requests in intervals, each to a random instance.
func (l *partLoad) every(interval, span wasabiridge.Millis, send func(n *instance)) {
	f := l.fleet
	for at := wasabiridge.Millis(0); at < span; at += interval {
		f.agenda.Schedule(f.now+at, func() { send(f.anyInstance()) })
	}
}

// sendFatal sends requests with a fatal part.
func (l *partLoad) sendFatal(interval, span wasabiridge.Millis, retries int, parts ...wasabiridge.BlockHash) {
	l.every(interval, span, func(n *instance) { l.fleet.request(n, l.request(parts...), true, false, retries) })
}

// sendSound sends requests without a fatal part: the kin, which shares its other parts with
// the fatal requests, popular ones, and rare ones.
func (l *partLoad) sendSound(span wasabiridge.Millis, kin ...wasabiridge.BlockHash) {
	f := l.fleet
	l.every(wasabiridge.Second/kinCount, span, func(n *instance) {
		r := l.request(kin...)
		l.kin = append(l.kin, r.Fingerprint)
		f.request(n, r, false, true, 1)
	})
	l.every(wasabiridge.Second/othersCount, span, func(n *instance) {
		part := popularParts + wasabiridge.BlockHash(f.random.IntN(30))
		if f.random.IntN(10) == 0 {
			part = rareParts + wasabiridge.BlockHash(f.random.IntN(30))
		}
		r := l.request(firstPart, part)
		l.others = append(l.others, r.Fingerprint)
		f.request(n, r, false, true, 1)
	})
}

// refused counts the requests that were refused.
func (l *partLoad) refused(requests []wasabiridge.Fingerprint) int {
	n := 0
	for _, fingerprint := range requests {
		n += l.fleet.refused[fingerprint]
	}
	return n
}

// Guards against requests with one part in common that end every server which begins to
// answer them. No two of them are alike, so the fingerprints of whole requests do not tell.
// Later than three seconds after the fifth end, at most three reach a server, and requests
// without the part are not refused.
func TestAtMostThreeFurtherSendsWithAFatalPart(t *testing.T) {
	const span = 20 * wasabiridge.Second
	second := []wasabiridge.BlockHash{firstPart, fatalPart}
	cases := map[string]struct {
		instances, active, servers int
		every                      wasabiridge.Millis
		retries                    int
		parts, kin                 []wasabiridge.BlockHash
		// also lists the parts of other fatal requests.
		also    []wasabiridge.BlockHash
		trouble func(f *fleet)
	}{
		"the second part":            {6, 6, 9, 300, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"the second part, often":     {6, 6, 30, 60, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"the second part, seldom":    {6, 6, 9, 2500, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"the second part, retried":   {6, 6, 9, 300, 1, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"the first part":             {6, 6, 9, 300, 0, []wasabiridge.BlockHash{fatalPart, siblingPart}, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"the third part":             {6, 6, 9, 300, 0, []wasabiridge.BlockHash{firstPart, siblingPart, fatalPart}, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"with a part of its own":     {6, 6, 9, 300, 0, []wasabiridge.BlockHash{firstPart, fatalPart, otherFatalPart}, []wasabiridge.BlockHash{firstPart}, nil, nil},
		"two parts":                  {6, 6, 30, 600, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, []wasabiridge.BlockHash{siblingPart, otherFatalPart}, nil},
		"hundreds of instances":      {374, 62, 1600, 300, 1, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, nil},
		"the instances are replaced": {6, 6, 9, 300, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, replaceInTurn},
		"a third is paused":          {60, 20, 90, 300, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, func(f *fleet) { f.interruptThird(func(n *instance, away bool) { n.offline, n.paused = away, away }) }},
		"a third is partitioned off": {60, 20, 90, 300, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, func(f *fleet) { f.interruptThird(func(n *instance, away bool) { n.offline, n.backAt = away, f.now }) }},
		"and servers that are lost":  {6, 6, 9, 300, 0, second, []wasabiridge.BlockHash{firstPart, siblingPart}, nil, func(f *fleet) { f.loseServers(3) }},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		c := cases[name]
		seeds := uint64(5)
		if c.instances > 100 {
			seeds = 1
		}
		for seed := range seeds {
			g := NewWithT(t)
			f := newFleet(seed, c.instances, c.active, c.servers, design{})
			f.lossRate = 0.1
			l := &partLoad{fleet: f}
			l.sendSound(span, c.kin...)
			l.sendFatal(c.every, span, c.retries, c.parts...)
			fatalParts := []wasabiridge.BlockHash{c.parts[len(c.parts)-1]}
			if len(c.also) > 0 {
				l.sendFatal(c.every, span, c.retries, c.also...)
				fatalParts = append(fatalParts, c.also[len(c.also)-1])
			}
			if c.trouble != nil {
				c.trouble(f)
			}
			f.run(span + wasabiridge.Second)
			for _, part := range fatalParts {
				g.Expect(f.furtherSendsOf(part)).To(BeNumerically("<=", 3), "%s, seed %d", name, seed)
				t.Logf("%s, seed %d: %d servers ended, %d further sends, %d messages", name, seed, len(f.endsOf[part]), f.furtherSendsOf(part), f.messages)
			}
			g.Expect(l.refused(l.kin)+l.refused(l.others)).To(BeZero(), "%s, seed %d: %d of %d kin, %d of %d others", name, seed, l.refused(l.kin), len(l.kin), l.refused(l.others), len(l.others))
		}
	}
}

// replaceInTurn replaces one instance after the other with a new process.
func replaceInTurn(f *fleet) {
	for i := range f.instances {
		f.agenda.Schedule(f.now+wasabiridge.Millis(2000+2500*i), func() {
			f.instances[i].kill()
			f.start(i)
		})
	}
}

// loseServers ends a third of the servers at one moment, several times.
func (f *fleet) loseServers(times int) {
	for i := range times {
		f.agenda.Schedule(f.now+wasabiridge.Millis(1000+4000*i), func() {
			for n, s := range f.servers {
				if n%3 == i%3 {
					f.crash(s)
				}
			}
		})
	}
}

// Guards against blocking a harmless part of prompts when servers end for another reason:
// again and again a third of them, or single ones at any moment.
func TestHarmlessPartsAreNotBlocked(t *testing.T) {
	cases := map[string]func(f *fleet){
		"a third of the servers, three times": func(f *fleet) { f.loseServers(3) },
		"a server every half second": func(f *fleet) {
			for at := wasabiridge.Millis(0); at < 20*wasabiridge.Second; at += 500 {
				f.agenda.Schedule(f.now+at, func() { f.crash(f.servers[f.random.IntN(len(f.servers))]) })
			}
		},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		for seed := range uint64(20) {
			f := newFleet(seed, 6, 6, 9, design{})
			f.lossRate = 0.1
			l := &partLoad{fleet: f}
			l.sendSound(20*wasabiridge.Second, firstPart, siblingPart)
			cases[name](f)
			f.run(21 * wasabiridge.Second)
			NewWithT(t).Expect(l.refused(l.kin)+l.refused(l.others)).To(BeZero(), "%s, seed %d", name, seed)
		}
	}
}
