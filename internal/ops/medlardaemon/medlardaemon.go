// Package medlardaemon is the command line of medlard, the entry daemon.
package medlardaemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarnode"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/ops/medlarversion"
)

// New returns the command line.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "medlard",
		Short:         "Entry daemon: serves prompts and plain services between callers and upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(serveCommand(), attachCommand(), checkCommand(), medlarversion.Command())
	return root
}

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run an entry instance with the settings of FILE until it is told to stop",
		Long: "Run an entry instance with the settings of FILE.\n\n" +
			"SIGTERM or SIGINT stops it gracefully: it turns unready, takes no new request and ends when the open\n" +
			"ones have their answers. A second signal, or the time limits.drain, ends it at once.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return serve(cmd, args[0]) },
	}
}

func checkCommand() *cobra.Command {
	var attached bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings of FILE and start nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := check(args[0], attached); err != nil {
				return err
			}
			cmd.Println(args[0] + ": ok")
			return nil
		},
	}
	cmd.Flags().BoolVar(&attached, "attached", false, "the settings are those of an attached instance")
	return cmd
}

func check(file string, attached bool) error {
	if attached {
		_, err := medlarsettings.ReadAttached(file)
		return err
	}
	_, err := medlarsettings.Read(file)
	return err
}

// gcPercent trades processor time for memory: an instance's memory is small, and
// so is what it allocates for each request.
const gcPercent = 50

func serve(cmd *cobra.Command, file string) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	cfg, err := medlarsettings.Read(file)
	if err != nil {
		return err
	}
	node, err := medlarnode.New(cfg, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	stop, err := node.Start(context.Background())
	if err != nil {
		return err
	}
	<-signals
	limit, cancel := context.WithTimeout(context.Background(), cfg.Limits.DrainTimeout.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return stop(limit)
}
