// Command medlarctl is the operators' client.
package main

import (
	"fmt"
	"os"

	"medlarfield/internal/ops/medlaroperator"
)

func main() {
	err := medlaroperator.New().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "medlarctl:", err)
	}
	os.Exit(medlaroperator.ExitCode(err))
}
