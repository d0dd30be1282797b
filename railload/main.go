// Railload sends requests to comfreyrail at a stated rate and reports what the
// callers saw.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/comfreyrail/comfreyrail/railload/internal/experiment"
)

func main() {
	root := &cobra.Command{Use: "railload", Short: "Load and measure comfreyrail", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(experiment.Command())
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "railload: %v\n", err)
		os.Exit(1)
	}
}
