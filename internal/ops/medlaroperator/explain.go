package medlaroperator

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarexplain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell from log lines of attached instances what happened to a request, and on which beliefs",
		Long: "Tell from log lines of attached instances what happened to a request, and on which beliefs. Lines are read from\n" +
			"the files, or from standard input without any. Indented lines tell what the same instance came to believe in\n" +
			"the ten seconds before.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLines(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			return medlarexplain.Explain(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

func timelineCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "timeline NAME [FILE...]",
		Short: "Tell from log lines of attached instances what happened at an instance, a replica or a store",
		Long: "Tell from log lines of attached instances what happened at an instance, a replica or a store: what was believed of\n" +
			"it, failed attempts, and counts of requests by second. Lines are read from the files, or from standard input\n" +
			"without any.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLines(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			return medlarexplain.Timeline(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

// readLines reads log lines from files, or from in without any.
func readLines(in io.Reader, files []string) ([]medlarexplain.Line, error) {
	if len(files) == 0 {
		return medlarexplain.Read(in)
	}
	var out []medlarexplain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := medlarexplain.Read(f)
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
