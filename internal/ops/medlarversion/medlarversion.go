// Package medlarversion tells the version of a program.
package medlarversion

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the version of the product.
const Version = "0.1.0"

// String returns version, revision where it is known, and the runtime's version.
func String() string {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	return Version + revision + " " + runtime.Version()
}

// Command returns the command "version".
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println(String()) },
	}
}
