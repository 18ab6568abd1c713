package medlarstandcmd

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarschedule"
	"medlarfield/internal/stand/medlarsite"
	"medlarfield/internal/stand/medlarsoak"
	"medlarfield/internal/stand/medlarverdict"
)

// soakSettings is the directory of the settings files in that of a soak.
const soakSettings = "settings"

func soakCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Draw faults from a seed, play them on attached instances of other processes, and check what was seen; see .ci/soak",
	}
	cmd.AddCommand(soakPlanCommand(), soakPlatformCommand(), soakLoadCommand(), soakCheckCommand())
	return cmd
}

func soakPlanCommand() *cobra.Command {
	var s medlarschedule.Settings
	cmd := &cobra.Command{Use: "plan", Short: "Print the schedule of a seed", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.Uint64Var(&s.Seed, "seed", 1, "seed of the schedule")
	flags.IntVar(&s.Nodes, "nodes", 3, "number of instances")
	flags.BoolVar(&s.Upgrade, "upgrade", false, "upgrade the instances, which run another build first")
	flags.StringVar(&s.Only, "only", "", "name of the only kind of fault; empty for all")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		steps, err := medlarschedule.New(s)
		if err == nil {
			medlarschedule.Print(cmd.OutOrStdout(), steps)
		}
		return err
	}
	return cmd
}

func soakPlatformCommand() *cobra.Command {
	var nodes, port int
	cfg := medlarsite.Default()
	cfg.Events = medlarsoak.Events
	cfg.ServiceTime, cfg.RestartDelay = 10*time.Millisecond, time.Second
	cmd := &cobra.Command{
		Use:   "platform DIR",
		Short: "Run the emulated platform until a signal; DIR gets the settings files and the record of runs",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			runs, err := os.Create(filepath.Join(args[0], medlarsoak.FileRuns))
			if err != nil {
				return err
			}
			defer func() { _ = runs.Close() }()
			platform, err := medlarsoak.NewPlatform(cfg, runs)
			if err != nil {
				return err
			}
			next := port
			address := func() (medlarid.Address, error) {
				next++
				return medlarid.Address(fmt.Sprintf("127.0.0.1:%d", next)), nil
			}
			return runSite(platform.Site(), fmt.Sprintf("127.0.0.1:%d", port), platform.Handler(), func(s *medlarsite.Site) (func(), error) {
				return writeSettings(cmd.OutOrStdout(), s, filepath.Join(args[0], soakSettings), nodes, address)
			})
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&nodes, "nodes", 3, "number of settings files")
	flags.IntVar(&port, "port", 10000, "port of the control address; the next ones are those of the instances")
	flags.BoolVar(&cfg.Links, "links", true, "put a link of its own before the replicas for each instance; without, none is cut")
	flags.IntVar(&cfg.Engines, "engines", 4, "number of replicas of the model engine")
	flags.DurationVar(&cfg.ServiceTime, "work", cfg.ServiceTime, "duration of a plain request, and interval between the events of a stream")
	flags.IntVar(&cfg.Plain, "plain", 2, "number of replicas of the plain service")
	return cmd
}

func soakLoadCommand() *cobra.Command {
	var l medlarsoak.Load
	cmd := &cobra.Command{Use: "load DIR", Short: "Send requests to the instances until DIR has the file calm and they are served", Args: cobra.ExactArgs(1)}
	cmd.Flags().Float64Var(&l.Rate, "rate", 90, "requests a second")
	cmd.Flags().BoolVar(&l.Same, "same", false, "give all requests of a route the same path and body")
	cmd.Flags().BoolVar(&l.Deadly, "deadly", false, "send requests under which replicas may crash, too")
	cmd.Flags().Uint64Var(&l.Seed, "seed", 1, "seed of the choice of instances and parts")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		var err error
		if l.Instances, err = readInstances(filepath.Join(args[0], soakSettings)); err != nil {
			return err
		}
		l.CalmFile, l.PressFile = filepath.Join(args[0], medlarsoak.FileCalm), filepath.Join(args[0], medlarsoak.FilePress)
		calls, err := os.Create(filepath.Join(args[0], medlarsoak.FileCalls))
		if err != nil {
			return err
		}
		l.Run(calls)
		return calls.Close()
	}
	return cmd
}

func soakCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check the records of a soak",
		Long:  "Check the records of a soak. The exit code is 1 if a rule is broken.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			records, err := medlarsoak.Read(args[0])
			if err != nil {
				return err
			}
			res := medlarverdict.Check(records)
			res.Print(cmd.OutOrStdout())
			if n := len(res.Violations); n > 0 {
				return fmt.Errorf("%d violations", n)
			}
			return nil
		},
	}
}
