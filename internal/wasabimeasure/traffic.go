package wasabimeasure

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

func (p PoolSpec) pool(zones []wasabiridge.AvailabilityZone) wasabiridge.Pool {
	pool := wasabiridge.Pool{ID: p.ID, BlockTokens: p.BlockTokens}
	for i := range p.Replicas {
		pool.Backends = append(pool.Backends, wasabiridge.BackendServer{
			ID:    wasabiridge.BackendServerID(fmt.Sprintf("%s-%d", p.ID, i+1)),
			Kind:  p.Kind,
			Zone:  zones[i%len(zones)],
			Slots: p.Slots,
		})
	}
	return pool
}

func (p PoolSpec) engine(id wasabiridge.BackendServerID) *wasabifake.Engine {
	return wasabifake.NewEngine(wasabifake.Spec{
		ID: id, BlockTokens: p.BlockTokens, CacheBlocks: p.CacheBlocks, Slots: p.Slots,
		QueueLimit: p.QueueLimit, Prefill: p.Prefill, Decode: p.Decode, Weights: 1,
	})
}

// traffic generates the requests of a workload in order of arrival. The sequence
// depends only on the seed, the load and shifted, not on how requests are
// answered, so that policies can be compared on the same requests.
type traffic struct {
	w       Workload
	rate    float64
	random  *rand.Rand
	at      float64
	count   int
	shifted bool
}

func newTraffic(w Workload, load float64, seed uint64) *traffic {
	return &traffic{w: w, rate: w.Capacity * load, random: rand.New(rand.NewPCG(seed, 1))}
}

// rateAt returns the arrival rate per millisecond at a time.
func (t *traffic) rateAt(at float64) float64 {
	b := t.w.Bursts
	rate := t.rate / float64(wasabiridge.Second)
	if b.Every == 0 || b.Factor == 0 {
		return rate
	}
	burstShare := float64(b.Length) / float64(b.Every)
	baseRate := rate / (1 + burstShare*(b.Factor-1))
	if math.Mod(at, float64(b.Every)) < float64(b.Length) {
		return baseRate * b.Factor
	}
	return baseRate
}

// next returns the next request and its stream.
func (t *traffic) next() (wasabiridge.Request, StreamSpec) {
	t.at += t.random.ExpFloat64() / t.rateAt(t.at)
	account := t.w.Accounts[t.pick(len(t.w.Accounts), func(i int) float64 { return t.w.Accounts[i].Traffic })].ID
	s := t.w.Streams[t.pick(len(t.w.Streams), func(i int) float64 { return t.w.Streams[i].Traffic })]
	t.count++
	deadline := s.Action.Deadline
	if deadline == 0 {
		deadline = 30 * wasabiridge.Second
	}
	r := wasabiridge.Request{
		ID:        wasabiridge.RequestID(fmt.Sprintf("r%06d", t.count)),
		Account:   account,
		Method:    "POST",
		Path:      "/" + s.Name,
		Chain:     t.chain(account, s),
		MaxTokens: s.OutputTokens,
		Stream:    true,
		Arrived:   wasabiridge.Millis(t.at),
		Deadline:  wasabiridge.Millis(t.at) + deadline,
	}
	return r.WithRule(wasabiridge.Rule{ID: wasabiridge.RuleID(s.Name), Then: s.Action}), s
}

func (t *traffic) chain(account wasabiridge.ClientAccountID, s StreamSpec) wasabiridge.Chain {
	pool := t.poolFor(s)
	c := wasabiridge.Chain{
		Root:        wasabiridge.CacheRoot{Account: account, Weights: 1},
		BlockTokens: pool.BlockTokens,
		Tokens:      s.UniqueTokens,
	}
	hash := xxhash.Sum64String(string(account) + "/" + s.Name)
	for _, level := range s.Levels {
		choice := uint64(t.count)
		if level.Count > 0 {
			choice = uint64(t.choose(level))
		}
		for i := range level.Blocks {
			hash = mix(hash, choice, uint64(i))
			c.Blocks = append(c.Blocks, wasabiridge.BlockHash(hash))
		}
		c.Tokens += level.Blocks * pool.BlockTokens
	}
	return c
}

// choose returns a random prefix of a level. While shifted is set the ranks are
// reversed, so that the least requested prefixes become the most requested.
func (t *traffic) choose(l Level) int {
	rank := t.pick(l.Count, func(i int) float64 { return math.Pow(float64(i+1), -l.Skew) })
	if t.shifted {
		return l.Count - 1 - rank
	}
	return rank
}

func (t *traffic) pick(n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	remaining := t.random.Float64() * sum
	for i := range n {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

func (t *traffic) poolFor(s StreamSpec) PoolSpec {
	for _, p := range t.w.Pools {
		if p.ID == s.Action.Pool {
			return p
		}
	}
	return PoolSpec{}
}

func mix(parts ...uint64) uint64 {
	var b []byte
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint64(b, p)
	}
	return xxhash.Sum64(b)
}
