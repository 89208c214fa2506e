package wasabiridge

// InstancesCounted reports the estimated number of instances that share the backend
// servers, including this one.
type InstancesCounted struct {
	Count int
	// Serving are the instances that callers are directed to. Empty means that they are
	// not known.
	Serving []InstanceID
}

func (InstancesCounted) isEvent() {}
