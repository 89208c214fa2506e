package wasabisettings

const (
	// heldShare is the fraction of the memory that may be held for requests. The heap
	// holds as much again until its garbage is collected, and the rest of the process
	// takes most of what is left.
	heldShare = 0.25
	// connectionShare is the fraction of the memory that the connections of callers may take,
	// with the heads of their requests.
	connectionShare = 0.2
	// programBytes is what the program itself takes, outside of the memory that the runtime
	// manages.
	programBytes = 20 << 20
	// memoryShare is the fraction of the rest from which garbage is collected more often, and
	// minMemoryShare the least fraction of all memory. What the kernel keeps unread takes more.
	memoryShare    = 0.8
	minMemoryShare = 0.3
	bytesPerMB     = 1 << 20
)

// HeldBytes returns how many bytes the process may hold for requests and for callers that
// do not read. Zero means any number.
func (s Settings) HeldBytes() int64 { return int64(s.Memory * bytesPerMB * heldShare) }

// ConnectionBytes returns how many bytes the connections of callers may take. Zero means
// any number.
func (s Settings) ConnectionBytes() int64 { return int64(s.Memory * bytesPerMB * connectionShare) }

// MemoryTarget returns the memory in bytes that the runtime should stay below. Zero means
// that none is known.
func (s Settings) MemoryTarget() int64 {
	all := s.Memory * bytesPerMB
	return int64(max((all-programBytes)*memoryShare, all*minMemoryShare))
}
