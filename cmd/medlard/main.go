// Command medlard is the entry daemon.
package main

import (
	"fmt"
	"os"

	"medlarfield/internal/ops/medlardaemon"
)

func main() {
	if err := medlardaemon.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "medlard:", err)
		os.Exit(1)
	}
}
