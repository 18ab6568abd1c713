// Package medlarlogcommand defines the commands of medlarctl that read logs of attached instances.
package medlarlogcommand

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarlogquery"
)

// Explain returns the command that shows what happened to a request.
func Explain() *cobra.Command {
	return command(medlarlogquery.Explain, "explain ID",
		"Show from the logs of attached instances what happened to a request, and on which state it was decided",
		"Indented lines are changes of that instance's state in the ten seconds before the request ended.")
}

// Timeline returns the command that shows what happened at an instance, a replica or a store.
func Timeline() *cobra.Command {
	return command(medlarlogquery.Timeline, "timeline NAME",
		"Show from the logs of attached instances what happened at an instance, a replica or a store",
		"The output has the changes of its known state, failed attempts, and the number of requests in each second.")
}

// command returns a command that runs query on log lines for its first argument.
func command(query func(w io.Writer, lines []medlarlogquery.Line, subject string) error, use, short, detail string) *cobra.Command {
	return &cobra.Command{
		Use:   use + " [FILE...]",
		Short: short,
		Long:  short + ".\nLines are read from the files, or from standard input if no files are given.\n" + detail,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLines(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			return query(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

// readLines reads log lines from files, or from in if there are none.
func readLines(in io.Reader, files []string) ([]medlarlogquery.Line, error) {
	if len(files) == 0 {
		return medlarlogquery.Read(in)
	}
	var out []medlarlogquery.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := medlarlogquery.Read(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}
