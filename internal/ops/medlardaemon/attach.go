package medlardaemon

import (
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/ops/medlarattachednode"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/platform"
)

func attachCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "attach [FILE]",
		Short: "Run an entry instance on the users' platform until it receives a signal to stop",
		Long: "Run an entry instance on the users' platform. Without FILE, the settings are read from the file whose\n" +
			"path is in the environment variable " + medlarplatform.SettingsVariable + ".\n\n" +
			"SIGTERM or SIGINT stops it gracefully within bounds.grace. SIGHUP checks the settings again, and applies none.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := os.Getenv(medlarplatform.SettingsVariable)
			if len(args) > 0 {
				file = args[0]
			}
			if file == "" {
				return eris.New("no settings: pass FILE, or set " + medlarplatform.SettingsVariable)
			}
			return attach(cmd, file)
		},
	}
}

// memoryShare is the share of the instance's memory at which the garbage collector runs more
// often. Below it, the heap may grow by attachedGCPercent percent between two collections.
const (
	memoryShare       = 0.6
	attachedGCPercent = 100
)

func attach(cmd *cobra.Command, file string) error {
	cfg, err := medlarsettings.ReadAttached(file)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(attachedGCPercent)
	}
	debug.SetMemoryLimit(int64(math.Round(memoryShare * float64(cfg.MemoryMB) * (1 << 20))))
	instance, err := medlarattachednode.New(cfg, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	stop, err := instance.Start()
	if err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		instance.Reload(file)
	}
	stop()
	return nil
}
