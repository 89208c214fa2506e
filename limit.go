package wasabiridge

// LimitNamed says what the head of an answer told of the rate that its backend server
// takes from all instances together.
type LimitNamed struct {
	Backend BackendServerID
	// Limited says that the server names a limit. Rate is that limit, in requests a
	// second.
	Limited bool
	Rate    float64
	// Asked is when the request was sent: what the answer says is no older.
	Asked Millis
	// Fault is what is wrong with a limit that cannot be used. Such an answer says
	// nothing of the limit. Empty means that nothing is wrong.
	Fault string
}

func (LimitNamed) isEvent() {}
