// Package wasabipeer carries the messages between instances over gRPC: it
// implements wasabiridge.PeerClient, serves a wasabiridge.PeerHandler, and
// offers a watermill publisher and subscriber over the same service.
//
// # Authentication
//
// With Options.TLS both sides show certificates. Without it, peers share a
// key: every call carries a token that is derived from the key and the
// current ten minutes. The token proves that the caller knows the key; it
// neither hides nor seals the messages, so networks that others can read or
// change need TLS. One of both is required.
//
// # Outcomes
//
// Reads that fail report wasabiridge.ErrUnavailable. A claim or its end may
// have taken effect although no answer came. Such a call reports
// wasabiridge.ErrUnavailable only when no byte of it left this instance or
// when the other instance itself said so, and wasabiridge.ErrOutcomeUnknown
// in every other case.
//
// # Usage
//
//	opts := wasabipeer.Options{Key: key}
//	server, err := wasabipeer.Listen("127.0.0.1:0", handler, opts)
//	client, err := wasabipeer.NewClient(opts)
//	answer, err := client.Exchange(ctx, server.Address(), heartbeat)
package wasabipeer
