// Command medlarctl is the operators' client.
package main

import (
	"fmt"
	"os"

	"medlarfield/internal/ops/medlarctlcmd"
)

func main() {
	err := medlarctlcmd.New().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "medlarctl:", err)
	}
	os.Exit(medlarctlcmd.ExitCode(err))
}
