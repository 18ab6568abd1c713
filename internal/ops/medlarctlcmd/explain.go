package medlarctlcmd

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarlogquery"
)

func explainCommand() *cobra.Command {
	return logCommand(medlarlogquery.Explain, "explain ID",
		"Tell from log lines of attached instances what happened to a request, and on which beliefs",
		"Indented lines tell what the same instance came to believe in the ten seconds before.")
}

func timelineCommand() *cobra.Command {
	return logCommand(medlarlogquery.Timeline, "timeline NAME",
		"Tell from log lines of attached instances what happened at an instance, a replica or a store",
		"Told are what was believed of it, failed attempts, and counts of requests by second.")
}

// logCommand returns a command that tells what log lines say of its first argument.
func logCommand(told func(w io.Writer, lines []medlarlogquery.Line, of string) error, use, short, more string) *cobra.Command {
	return &cobra.Command{
		Use:   use + " [FILE...]",
		Short: short,
		Long:  short + ".\nLines are read from the files, or from standard input without any.\n" + more,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLines(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			return told(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

// readLines reads log lines from files, or from in without any.
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
