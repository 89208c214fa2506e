package wasabimeasure

import (
	"fmt"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
)

// Values of Options.Callers: how callers choose an instance.
const (
	// CallersRandom sends each request to a random instance.
	CallersRandom = "random"
	// CallersSteered chooses by the weights of the address list that an
	// instance returns, as callers of a real deployment do.
	CallersSteered = "steered"
)

// callers choose an instance for each request.
type callers struct {
	random    *rand.Rand
	zones     []wasabiridge.AvailabilityZone
	instances int
	// addressBook is nil when callers choose at random.
	addressBook   *wasabiaddress.Selector
	instanceByURL map[string]int
}

func newCallers(o Options) *callers {
	c := &callers{
		random:        rand.New(rand.NewPCG(o.Seed, 4)),
		zones:         o.Workload.Zones,
		instances:     o.Instances,
		instanceByURL: make(map[string]int, o.Instances),
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
		c.instanceByURL[e.CallerURL] = i
		members = append(members, wasabiridge.Member{InstanceEntry: e})
	}
	c.addressBook = wasabiaddress.New(wasabiaddress.Options{
		Self:    members[0].InstanceEntry,
		Members: func() []wasabiridge.Member { return members },
	})
	return c
}

// choose returns the index of the instance that receives the next request of
// the account.
func (c *callers) choose(account wasabiridge.ClientAccountID) int {
	if c.addressBook == nil {
		return c.random.IntN(c.instances)
	}
	zone := c.zones[c.random.IntN(len(c.zones))]
	addresses := c.addressBook.Answer(account, zone).Addresses
	sum := 0
	for _, a := range addresses {
		sum += a.Weight
	}
	remaining := c.random.IntN(sum)
	for _, a := range addresses {
		if remaining -= a.Weight; remaining < 0 {
			return c.instanceByURL[a.URL]
		}
	}
	return 0
}
