// Package medlardaemon implements the command line of medlard, the entry daemon.
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

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "medlard",
		Short:         "Entry daemon: forwards prompts and requests to plain services from callers to upstreams",
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
		Short: "Run an entry instance with the settings in FILE until it receives a signal to stop",
		Long: "Run an entry instance with the settings in FILE.\n\n" +
			"SIGTERM or SIGINT stops it gracefully: it reports itself unready, accepts no new requests, and exits\n" +
			"when the open ones are answered. After a second signal, or after limits.drain, it exits at once.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return serve(cmd, args[0]) },
	}
}

func checkCommand() *cobra.Command {
	var attached bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings in FILE without starting an instance",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := check(args[0], attached); err != nil {
				return err
			}
			cmd.Println(args[0] + ": ok")
			return nil
		},
	}
	cmd.Flags().BoolVar(&attached, "attached", false, "check FILE as the settings of an attached instance")
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

// gcPercent trades CPU time for memory: an instance has little memory, and allocates little
// for each request.
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
	drainCtx, cancel := context.WithTimeout(context.Background(), cfg.Limits.DrainTimeout.Std())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return stop(drainCtx)
}
