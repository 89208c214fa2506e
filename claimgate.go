package wasabiridge

// ClaimGate closes the race between releasing a claim and sending its request. A
// Claimer may implement it too. Implementations are safe for concurrent use.
//
// After a successful BeginSend, Finish accepts the disposition NotRun only if
// RecordNotRun was called for every send that began. Otherwise it counts as MaybeRun.
type ClaimGate interface {
	// BeginSend is called right before the first byte of a claimed request is written
	// to a connection of a backend server. It returns ErrConflict when the request
	// holds no claim or Finish was already called for it; then nothing may be sent.
	BeginSend(request RequestID) error
	// RecordNotRun records that the backend server of the last send stated in a trusted
	// form that it did not run the request.
	RecordNotRun(request RequestID)
}
