package wasabiridge

// ClaimGate closes the race between giving up a claim and sending its
// request. A Claimer may implement it as well. Implementations are safe for
// concurrent use.
//
// From a successful BeginSend on, Finish believes the disposition NotRun only
// when SendNotRun was called for every send that began. Otherwise it counts as
// MaybeRun.
type ClaimGate interface {
	// BeginSend is called right before the first byte of a claimed request
	// is handed to a backend connection. It reports ErrConflict when the
	// request holds no claim, or when Finish was called for it already; then
	// nothing may be sent.
	BeginSend(request RequestID) error
	// SendNotRun says that the backend server of the last send stated in a
	// trusted form that it did not run the request.
	SendNotRun(request RequestID)
}
