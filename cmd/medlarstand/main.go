// Command medlarstand runs the stand-ins of the platform.
package main

import (
	"fmt"
	"os"

	"medlarfield/internal/stand/medlarstandcmd"
)

func main() {
	if err := medlarstandcmd.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "medlarstand:", err)
		os.Exit(1)
	}
}
