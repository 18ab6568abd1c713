// Command medlarstand runs emulated services of the platform, for tests and trials.
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
