// Package wasabipeerpb holds the generated messages and stubs of the service
// between instances.
//
// # Usage
//
// The generated files are committed. After a change of peer.proto, run in this
// folder:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//		--go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
package wasabipeerpb
