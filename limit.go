package wasabiridge

// LimitAnnounced reports what the header of a response announced about the rate limit of
// its backend server, which applies to all instances together.
type LimitAnnounced struct {
	Backend BackendServerID
	// Limited reports that the server announced a limit. Rate is that limit, in
	// requests per second.
	Limited bool
	Rate    float64
	// RequestSentAt is when the request was sent, and so the earliest time that the
	// announcement can date from.
	RequestSentAt Millis
	// Fault describes why an announced limit is unusable. Such an announcement is
	// ignored. Empty means that it is usable.
	Fault string
}

func (LimitAnnounced) isEvent() {}
