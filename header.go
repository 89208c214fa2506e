package wasabiridge

// Names of the HTTP headers that pass between the router and backend servers.
const (
	// HeaderDisposition says on an answer whether the request ran. Only the
	// value "not_run" of a backend server is believed; a router deletes the
	// header from everything that it hands on.
	HeaderDisposition = "X-Wasabiridge-Disposition"
	// HeaderWeights names a weights version: on a request the one that must
	// answer, on an answer the one that did.
	HeaderWeights = "X-Wasabiridge-Weights"
	// HeaderIncarnation names the life of a backend server: on a request the
	// one that must answer, on an answer the one that did.
	HeaderIncarnation = "X-Wasabiridge-Incarnation"
	// HeaderResumedFrom repeats on an answer how many output tokens the
	// engine left out. A resumed answer without it is not believed.
	HeaderResumedFrom = "X-Wasabiridge-Resumed-From"
)
