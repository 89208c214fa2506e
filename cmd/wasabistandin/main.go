// Command wasabistandin simulates backend servers and the platform for tests and
// measurements.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "wasabistandin", Short: "Simulated backend servers and platform for tests and measurements"}
	root.AddCommand(newDemoCommand(), newEngineCommand(), newMeasureCommand(), newPlatformCommand(), newRegressCommand(), newServiceCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
