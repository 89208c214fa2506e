package wasabiridge

// StreamOrigin is where a stream began. Only backend servers of the same pool with the same
// software can continue it, because what two versions write does not fit together.
type StreamOrigin struct {
	Pool     PoolID
	Software SoftwareVersion
}

// Accepts reports whether a backend server of a pool can continue a stream that began here.
func (o StreamOrigin) Accepts(pool PoolID, b BackendServer) bool {
	return o.Pool == pool && o.Software == b.Software
}
