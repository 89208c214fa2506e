// Command wasabictl is the operators' command-line client for the routers of wasabiridge.
//
// # Usage
//
//	wasabictl status
//	wasabictl config get > config.json
//	wasabictl config put config.json --wait
//
// "wasabictl help" lists all commands, the settings and the exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/wasabiridge/wasabiridge/internal/wasabicommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := wasabicommand.Run(ctx, os.Args[1:], wasabicommand.Streams{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Env: os.Getenv,
	})
	stop()
	os.Exit(int(code))
}
