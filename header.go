package wasabiridge

// HTTP headers exchanged between the router and backend servers.
const (
	// HeaderDisposition states on a response whether the request ran. The router
	// accepts only the value "not_run" from a backend server, and deletes the header
	// from every response that it forwards.
	HeaderDisposition = "X-Wasabiridge-Disposition"
	// HeaderRequest is the identifier of the request. A refusal that repeats it belongs to
	// that request, whatever its connection carried before.
	HeaderRequest = "X-Request-Id"
	// HeaderWeights is a weights version: on a request the one that must produce the
	// response, on a response the one that did.
	HeaderWeights = "X-Wasabiridge-Weights"
	// HeaderIncarnation is the incarnation of a backend server: on a request the one
	// that must produce the response, on a response the one that did.
	HeaderIncarnation = "X-Wasabiridge-Incarnation"
	// HeaderResumedFrom confirms on a response how many output tokens the engine left
	// out. A resumed response without it is not accepted as resumed.
	HeaderResumedFrom = "X-Wasabiridge-Resumed-From"
)
