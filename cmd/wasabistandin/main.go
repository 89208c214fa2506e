// Command wasabistandin holds stand-ins for tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "wasabistandin", Short: "Stand-ins for tests and measurements"}
	root.AddCommand(newDemoCommand(), newEngineCommand(), newMeasureCommand(), newPlatformCommand(), newRegressCommand(), newServiceCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
