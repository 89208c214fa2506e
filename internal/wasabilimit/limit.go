// Package wasabilimit decides when requests may be sent.
package wasabilimit

import "github.com/wasabiridge/wasabiridge"

// Options sets up a Limiter.
type Options struct {
	// Instances is how many routers share the backend servers.
	Instances int
}

type limiter struct{}

// New returns a Limiter that admits everything.
func New(Options) wasabiridge.Limiter { return limiter{} }

func (limiter) Offer(wasabiridge.Millis, wasabiridge.Request) wasabiridge.Admission {
	return wasabiridge.Admission{}
}
func (limiter) Next(wasabiridge.Millis) (wasabiridge.Request, bool) {
	return wasabiridge.Request{}, false
}
func (limiter) Expired(wasabiridge.Millis) (wasabiridge.Request, bool) {
	return wasabiridge.Request{}, false
}
func (limiter) Withdraw(wasabiridge.RequestID) {}
func (limiter) HasRoom(wasabiridge.Millis, wasabiridge.BackendServer) bool {
	return true
}
func (limiter) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.BackendServerID) {
}
func (limiter) Observe(wasabiridge.Millis, wasabiridge.Event) {}
func (limiter) MayRetry(wasabiridge.Millis, wasabiridge.Request) bool {
	return true
}
