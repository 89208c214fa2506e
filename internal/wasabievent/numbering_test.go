package wasabievent_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
)

// tokens is the number of tokens of a stream of a pool.
const tokens = 12

// pool is a number of servers that are asked by one router.
type pool struct {
	numbering wasabievent.Numbering
	random    *rand.Rand
	servers   int
	streams   int
}

func newPool(servers int) *pool {
	return &pool{random: rand.New(rand.NewPCG(1, uint64(servers))), servers: servers}
}

// read reads a stream of a server and returns the identifiers that the caller gets, and whether
// the stream ended regularly.
func (p *pool) read(server int, ids []int) (got []int, whole bool) {
	s := wasabievent.NewSequence(&p.numbering, "")
	s.Request, s.Server = fmt.Sprint(p.streams), fmt.Sprint("e", server)
	p.streams++
	taken := 0
	for _, id := range ids {
		verdict, _ := s.Next(event(id))
		if verdict == wasabievent.Reject {
			return ids[:len(got)], false
		}
		if taken++; verdict == wasabievent.Deliver {
			got = ids[:taken]
		}
	}
	verdict, _ := s.End()
	if verdict == wasabievent.Reject {
		return got, false
	}
	return ids, true
}

// lose reads streams of drawn servers and returns how many were not whole.
func (p *pool) lose(streams int, ids func(random *rand.Rand) []int) int {
	lost := 0
	for range streams {
		if _, whole := p.read(p.random.IntN(p.servers), ids(p.random)); !whole {
			lost++
		}
	}
	return lost
}

func upTo(last int) []int {
	var ids []int
	for id := 1; id <= last; id++ {
		ids = append(ids, id)
	}
	return ids
}

func light(*rand.Rand) []int { return upTo(tokens) }

func loaded(random *rand.Rand) []int {
	return slices.DeleteFunc(upTo(tokens), func(id int) bool { return id < tokens && random.IntN(2) == 0 })
}

// always returns the given identifiers for every stream.
func always(ids ...int) func(*rand.Rand) []int {
	return func(*rand.Rand) []int { return ids }
}

// sometimes returns those of a stream that is light but for one event of several tokens, once in
// a number of times.
func sometimes(times, length int) func(*rand.Rand) []int {
	return func(random *rand.Rand) []int {
		ids := upTo(length)
		if random.IntN(times) > 0 {
			return ids
		}
		first := random.IntN(length - 1)
		return slices.Delete(ids, first, first+1)
	}
}

var _ = Describe("The streams of a pool whose events hold several tokens", func() {
	// Guards against sound streams that are cut for as long as their pool skips identifiers.
	ways := map[string]struct {
		ids func(*rand.Rand) []int
		// most is the number of streams that may be lost of the first 400.
		most int
	}{
		"under load":                      {ids: loaded, most: 16},
		"always":                          {ids: always(3, 6, 9, 12), most: 16},
		"in the first event":              {ids: always(3, 4, 5, 6, 7, 8, 9, 10, 11, 12), most: 16},
		"in the last event":               {ids: always(1, 2, 3, 4, 5, 6, 7, 8, 9, 12), most: 16},
		"in both of two events":           {ids: always(4, 12), most: 16},
		"in their only event":             {ids: always(12), most: 16},
		"a hundred in each event":         {ids: always(100, 200, 300, 400), most: 16},
		"in one of ten streams":           {ids: sometimes(10, tokens), most: 16},
		"in one of ten short streams":     {ids: sometimes(10, 5), most: 24},
		"in one of three short streams":   {ids: sometimes(3, 5), most: 24},
		"from identifier zero on":         {ids: always(0, 1, 2, 3, 4, 5, 6, 7, 8), most: 16},
		"by an event of hundreds at once": {ids: always(1, 2, 3, 500), most: 16},
	}
	for _, name := range slices.Sorted(maps.Keys(ways)) {
		for _, servers := range []int{1, 2, 6, 56} {
			It(fmt.Sprintf("are whole once that is known: %s, %d servers", name, servers), func() {
				for _, before := range []int{0, 20, 500} {
					p, way := newPool(servers), ways[name]
					Expect(p.lose(before, light)).To(BeZero())
					Expect(p.lose(400, way.ids)).To(BeNumerically("<=", way.most), "%d streams before", before)
					Expect(p.lose(400, way.ids)).To(BeNumerically("<=", way.most/4), "%d streams before, later on", before)
				}
			})
		}
	}

	// Guards against streams whose callers leave while events are kept, so that no stream ever shows
	// that its pool skips identifiers.
	It("are whole once that is known although callers leave early", func() {
		for _, servers := range []int{1, 6} {
			p, left := newPool(servers), 0
			p.lose(100, light)
			for n := range 400 {
				s := wasabievent.NewSequence(&p.numbering, "")
				s.Request, s.Server = fmt.Sprint(n), fmt.Sprint("e", p.random.IntN(servers))
				kept := 0
				for id := 3; id < 60 && kept < 3; id += 3 {
					kept++
					if verdict, _ := s.Next(event(id)); verdict == wasabievent.Deliver {
						kept = 0
					}
				}
				if kept < 3 {
					s.End()
					continue
				}
				s.Abandon()
				left++
			}
			Expect(left).To(BeNumerically("<=", 16), "%d servers", servers)
		}
	})

	// Guards against what servers have shown that are gone since and can take nothing back.
	It("are judged by the servers of now", func() {
		p := newPool(6)
		p.lose(100, loaded)
		for n := range 300 {
			_, whole := p.read(100+n%6, upTo(tokens))
			Expect(whole).To(BeTrue())
		}
		_, whole := p.read(100, append(upTo(tokens), tokens+2))
		Expect(whole).To(BeFalse())
	})

	It("are whole when load comes and goes", func() {
		for _, servers := range []int{1, 6} {
			p, lost := newPool(servers), 0
			for range 20 {
				lost += p.lose(100, light) + p.lose(100, loaded)
			}
			Expect(lost).To(BeNumerically("<=", 16), "%d servers", servers)
		}
	})

	It("are whole when events hold ever more tokens", func() {
		p := newPool(6)
		Expect(p.lose(400, loaded) + p.lose(400, always(100, 200, 300, 400)) + p.lose(400, always(5000, 10000))).To(BeNumerically("<=", 32))
		Expect(p.lose(400, always(5000, 10000))).To(BeZero())
	})
})

var _ = Describe("An event of no run with an identifier ahead", func() {
	// Guards against garbage that is passed on because its server, or few of many, send it often.
	for _, faulty := range []int{1, 3} {
		for _, ahead := range []int{2, 100} {
			It(fmt.Sprintf("behind the last event is never passed on: %d of 6 servers, %d ahead", faulty, ahead), func() {
				p := newPool(6)
				p.lose(30, light)
				for range 3000 {
					server := p.random.IntN(6)
					ids := upTo(tokens)
					if server < faulty {
						ids = append(ids, tokens+ahead)
					}
					got, whole := p.read(server, ids)
					Expect(whole).To(Equal(server >= faulty))
					Expect(got).To(Equal(upTo(tokens)))
				}
			})
		}
	}

	// Guards against the same within streams, also of one server only and before it is known.
	for _, servers := range []int{1, 6} {
		It(fmt.Sprintf("between others is never passed on: %d servers", servers), func() {
			p := newPool(servers)
			for range 3000 {
				server, ids := p.random.IntN(servers), upTo(tokens)
				if p.random.IntN(2) == 0 {
					ids = slices.Insert(ids, p.random.IntN(tokens), tokens+2+p.random.IntN(1000))
				}
				got, _ := p.read(server, ids)
				Expect(slices.Equal(got, upTo(len(got)))).To(BeTrue(), "%v", got)
			}
		})
	}

	// Guards against the same in streams that skip identifiers themselves.
	It("far ahead in a pool that skips others is not passed on", func() {
		p := newPool(6)
		p.lose(100, loaded)
		for range 3000 {
			ids := loaded(p.random)
			at := p.random.IntN(len(ids))
			far := 1000 + p.random.IntN(1000)
			got, whole := p.read(0, slices.Insert(slices.Clone(ids), at, far))
			Expect(whole).To(BeFalse())
			Expect(got).NotTo(ContainElement(far))
		}
	})

	// Guards against garbage at the end that is believed because its pool skips others, although its
	// server has sent an event of no run in one of its last streams.
	It("behind the last event of a server that sent garbage lately is not passed on", func() {
		p := newPool(6)
		p.lose(100, loaded)
		for range 50 {
			got, whole := p.read(0, []int{1, 900, 2, 3})
			Expect(whole).To(BeFalse())
			Expect(got).To(Equal([]int{1}))
			got, whole = p.read(0, append(upTo(tokens), tokens+2))
			Expect(whole).To(BeFalse())
			Expect(got).To(Equal(upTo(tokens)))
			p.lose(20, loaded)
		}
	})

	// Guards against one faulty server that changes what is taken for sound of all others.
	It("of one server does not change what is known of the others", func() {
		p := newPool(6)
		p.lose(100, light)
		for range 300 {
			p.read(0, []int{1, 2, 3, 5, 7, 8, 9, 11, 12})
			for server := 1; server < 6; server++ {
				_, whole := p.read(server, upTo(tokens))
				Expect(whole).To(BeTrue())
			}
			got, whole := p.read(1, append(upTo(tokens), tokens+2))
			Expect(whole).To(BeFalse())
			Expect(got).To(Equal(upTo(tokens)))
		}
	})
})
