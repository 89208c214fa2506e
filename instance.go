package wasabiridge

// InstancesCounted says how many instances are believed to share the backend
// servers, this one included.
type InstancesCounted struct {
	Count int
	// Serving are those that callers are sent to. Empty means that it is not known.
	Serving []InstanceID
}

func (InstancesCounted) isEvent() {}
