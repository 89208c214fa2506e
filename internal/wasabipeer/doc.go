// Package wasabipeer carries the messages between instances over gRPC: it
// implements wasabiridge.PeerClient, serves a wasabiridge.PeerHandler, and
// offers a watermill publisher and subscriber over the same service.
//
// # Authentication
//
// With Options.TLS both sides present certificates. Without it, instances share
// a key: every call carries a token that is derived from the key and the
// current ten-minute window. The token proves that the caller knows the key. It
// neither encrypts nor authenticates the messages, so TLS is needed on networks
// where others can read or change traffic. TLS or a key is required.
//
// # Outcomes
//
// Reads that fail report wasabiridge.ErrUnavailable. Claim and FinishClaim may
// have taken effect although no response arrived. Such a call reports
// wasabiridge.ErrUnavailable only when no byte of it left this instance or when
// the other instance itself reported that error, and
// wasabiridge.ErrOutcomeUnknown in every other case without a response.
//
// # Usage
//
//	opts := wasabipeer.Options{Key: key}
//	server, err := wasabipeer.Listen("127.0.0.1:0", handler, opts)
//	client, err := wasabipeer.NewClient(opts)
//	answer, err := client.Exchange(ctx, server.Address(), heartbeat)
package wasabipeer
