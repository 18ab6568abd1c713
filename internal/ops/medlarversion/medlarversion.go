// Package medlarversion holds the product version and the command that prints it.
package medlarversion

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Version is the product version.
const Version = "0.1.0"

// String returns the product version, the VCS revision if it is known, and the Go
// version, separated by spaces.
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

// Command returns the "version" command.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println(String()) },
	}
}
