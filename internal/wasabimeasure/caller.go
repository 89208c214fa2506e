package wasabimeasure

import (
	"fmt"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
)

// Ways in which callers choose an instance.
const (
	// CallersRandom sends each request to a random instance.
	CallersRandom = "random"
	// CallersSteered follows the address answers, as callers of a real
	// deployment do.
	CallersSteered = "steered"
)

// callers choose an instance for each request.
type callers struct {
	random    *rand.Rand
	zones     []wasabiridge.AvailabilityZone
	instances int
	// book is nil when callers choose at random.
	book    *wasabiaddress.Book
	numbers map[string]int
}

func newCallers(o Options) *callers {
	c := &callers{
		random:    rand.New(rand.NewPCG(o.Seed, 4)),
		zones:     o.Workload.Zones,
		instances: o.Instances,
		numbers:   make(map[string]int, o.Instances),
	}
	if o.Callers != CallersSteered || o.Instances == 1 {
		return c
	}
	var members []wasabiridge.Member
	for i := range o.Instances {
		e := wasabiridge.InstanceEntry{
			ID:        wasabiridge.InstanceID(fmt.Sprintf("instance-%d", i+1)),
			CallerURL: fmt.Sprintf("http://127.0.0.1:%d", i+1),
			Zone:      c.zones[i%len(c.zones)],
		}
		c.numbers[e.CallerURL] = i
		members = append(members, wasabiridge.Member{InstanceEntry: e})
	}
	c.book = wasabiaddress.New(wasabiaddress.Options{
		Self:    members[0].InstanceEntry,
		Members: func() []wasabiridge.Member { return members },
	})
	return c
}

// choose returns the number of the instance that the caller connects to.
func (c *callers) choose(account wasabiridge.ClientAccountID) int {
	if c.book == nil {
		return c.random.IntN(c.instances)
	}
	zone := c.zones[c.random.IntN(len(c.zones))]
	addresses := c.book.Answer(account, zone).Addresses
	sum := 0
	for _, a := range addresses {
		sum += a.Weight
	}
	left := c.random.IntN(sum)
	for _, a := range addresses {
		if left -= a.Weight; left < 0 {
			return c.numbers[a.URL]
		}
	}
	return 0
}
