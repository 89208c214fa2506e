package main

import (
	"context"
	"net"
)

// dialReplicas opens the connections to replicas. Nil means TCP connections of the system.
// Only a build for tests sets it.
var dialReplicas func(ctx context.Context, network, address string) (net.Conn, error)
