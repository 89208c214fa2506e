package wasabiridge

// InstancesCounted says how many instances are believed to share the backend
// servers, this one included.
type InstancesCounted struct{ Count int }

func (InstancesCounted) isEvent() {}
