package medlarstandcmd

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarmemoryload"
)

func memoryCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "memory",
		Short: "Put clients that exhaust memory on an attached instance of another process; see .ci/memory",
	}
	cmd.AddCommand(memoryRowsCommand(), memoryLoadCommand())
	return cmd
}

func memoryRowsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "rows",
		Short: "Print the kinds of clients by number, each with the flags of the platform that it needs",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for i, r := range medlarmemoryload.Rows {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d %s\n", i+1, r.Platform)
			}
		},
	}
}

func memoryLoadCommand() *cobra.Command {
	var number, pid int
	cmd := &cobra.Command{
		Use:   "load FILE",
		Short: "Put one kind of clients on the instance with the settings in FILE, and print the result as a line of a table",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if number < 1 || number > len(medlarmemoryload.Rows) {
				return eris.Errorf("no kind of clients has the number %d", number)
			}
			cfg, err := medlarsettings.ReadAttached(args[0])
			if err != nil {
				return err
			}
			r := medlarmemoryload.Run(medlarmemoryload.Settings{
				Row: medlarmemoryload.Rows[number-1], PID: pid, Address: cfg.Listen, Status: cfg.Status, MemoryMB: cfg.MemoryMB,
			})
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), r)
			if len(r.Faults) > 0 {
				return eris.New("the instance did not stay within its bounds")
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&number, "row", 1, "number of the kind of clients")
	flags.IntVar(&pid, "pid", 0, "id of the instance's process")
	return cmd
}
