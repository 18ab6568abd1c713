package medlarctlcmd

import (
	"fmt"
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// textWriter is a result that can be written as text.
type textWriter interface {
	Text(w io.Writer)
}

// print writes a result in the format that the flag --output selects.
func (o *options) print(cmd *cobra.Command, v textWriter) error {
	w := cmd.OutOrStdout()
	switch o.output {
	case "text":
		v.Text(w)
		return nil
	case "json":
		b, err := json.Marshal(v, json.Deterministic(true), jsontext.WithIndent("  "))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(w, string(b))
		return err
	default:
		return &Error{Op: OpRead, Kind: KindUsage, Err: eris.Errorf("--output: want text or json, got %q", o.output)}
	}
}
