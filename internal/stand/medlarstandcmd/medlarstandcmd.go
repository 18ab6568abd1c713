// Package medlarstandcmd is the command line of medlarstand, which runs the
// stand-ins of the platform.
package medlarstandcmd

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarversion"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarload"
	"medlarfield/internal/stand/medlarslope"
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/stand/medlartrial"
	"medlarfield/internal/upstream/medlarinstance"
)

// New returns the command line.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "medlarstand",
		Short:         "Stand-ins of the platform, and a trial of the whole path",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(upCommand(), platformCommand(), trialCommand(), slopesCommand(), loadCommand(), faultsCommand(), medlarversion.Command())
	return root
}

func trialCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trial",
		Short: "Return to a dossier after eviction and after its replica was killed, with kept context and without",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return medlartrial.Run(cmd.OutOrStdout()) },
	}
}

func slopesCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how state, messages, time and memory of each role grow; writes slopes.md and slopes.svg",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			series, err := medlarslope.Run(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return writeSlopes(out, series)
		},
	}
	cmd.Flags().StringVar(&out, "out", "docs", "folder to write into")
	return cmd
}

func writeSlopes(dir string, series []medlarslope.Series) error {
	var page, sheet bytes.Buffer
	medlarslope.WriteTable(&page, series)
	if err := medlarslope.WritePlots(&sheet, series); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "slopes.md"), page.Bytes(), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "slopes.svg"), sheet.Bytes(), 0o644)
}

func loadCommand() *cobra.Command {
	s := medlarload.Settings{Model: "casework", Prompt: "Dear parish,"}
	var at []string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send prompts to entry instances and report how they were answered",
		Long:  "Send prompts to entry instances and report how they were answered. Exit code 1 if an answer was cut.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, a := range at {
				s.Addresses = append(s.Addresses, medlarid.Address(a))
			}
			r := medlarload.Run(s)
			r.Print(cmd.OutOrStdout())
			if r.Truncated > 0 {
				return fmt.Errorf("%d answers were cut", r.Truncated)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&at, "at", []string{"127.0.0.1:8081"}, "address of an entry instance; may be repeated")
	flags.StringVar(&s.Key, "key", medlartestbed.Key, "bearer key")
	flags.IntVar(&s.Max, "tokens", 64, "tokens of an answer")
	flags.IntVar(&s.Streams, "streams", 10, "prompts at the same time")
	flags.DurationVar(&s.Time, "time", 5*time.Second, "no prompt starts after it")
	return cmd
}

func faultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "faults",
		Short: "List the faults that POST /fault of the control address arms",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, d := range medlarfault.Table {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%-10s %s\n", d.Name, d.Text)
			}
		},
	}
}

// upFlags are the flags of the command up.
type upFlags struct {
	nodes   int
	base    int
	engines int
	speed   float64
	publish bool
	entries []string
}

func upCommand() *cobra.Command {
	f := &upFlags{}
	cmd := &cobra.Command{
		Use:   "up",
		Short: "Run the stand-ins, with entry instances if asked, until a signal",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return up(cmd.OutOrStdout(), f) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.nodes, "nodes", 3, "entry instances in this process")
	flags.IntVar(&f.base, "base", 7001, "first port; the log service has it, the instance list the next; 0 takes free ones")
	flags.IntVar(&f.engines, "engines", 4, "model engines")
	flags.Float64Var(&f.speed, "speed", 1, "divides all times of engines and stores")
	flags.BoolVar(&f.publish, "publish", true, "publish the example lists")
	flags.StringSliceVar(&f.entries, "entry", nil, "entry instance of another process to list, as name=zone=address; may be repeated")
	return cmd
}

func up(w io.Writer, f *upFlags) error {
	cfg := medlartestbed.Default()
	cfg.Base = f.base
	cfg.Engines = f.engines
	cfg.Speed = f.speed
	stage, err := medlartestbed.New(cfg)
	if err != nil {
		return err
	}
	defer stage.Close()
	if err := listEntries(stage, f.entries); err != nil {
		return err
	}
	nodes, err := startNodes(stage, f)
	if err != nil {
		return err
	}
	tell(w, stage, nodes)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	for _, n := range nodes {
		_ = n.Stop(10 * time.Second)
	}
	return nil
}

// listEntries puts entry instances of other processes on the instance list.
func listEntries(stage *medlartestbed.Testbed, entries []string) error {
	for _, e := range entries {
		i, err := parseEntry(e)
		if err != nil {
			return err
		}
		stage.List.Put(i)
	}
	return nil
}

func startNodes(stage *medlartestbed.Testbed, f *upFlags) ([]*medlartestbed.RunningNode, error) {
	if f.publish {
		lists, err := medlartestbed.Lists()
		if err != nil {
			return nil, err
		}
		if _, err := stage.Publish(lists); err != nil {
			return nil, err
		}
	}
	var nodes []*medlartestbed.RunningNode
	for i := range f.nodes {
		n, err := stage.StartNode(stage.NodeSettings(i), os.Stderr)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func tell(w io.Writer, stage *medlartestbed.Testbed, nodes []*medlartestbed.RunningNode) {
	_, _ = fmt.Fprintf(w, "log service    %s\ninstance list  %s\nweight store   %s\ncontrol        %s\n",
		stage.LogHost.Address, stage.ListHost.Address, stage.WeightsHost.Address, stage.Control.Address)
	for _, n := range nodes {
		_, _ = fmt.Fprintf(w, "%s        %s, status %s\n", n.Status().Name, n.Address(), n.StatusAddress())
	}
	if len(nodes) > 0 {
		_, _ = fmt.Fprintf(w, "\ncurl -N -H 'Authorization: Bearer %s' http://%s/v1/completions -d '{\"model\":\"casework\",\"prompt\":\"Dear parish,\",\"max_tokens\":16,\"stream\":true}'\n",
			medlartestbed.Key, nodes[0].Address())
	}
}

// parseEntry reads name=zone=address.
func parseEntry(s string) (medlarinstance.Instance, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 {
		return medlarinstance.Instance{}, fmt.Errorf("--entry: want name=zone=address, got %q", s)
	}
	return medlarinstance.Instance{
		ID:      medlarid.InstanceID(parts[0]),
		Role:    medlarinstance.RoleEntry,
		Zone:    medlarid.Zone(parts[1]),
		Address: medlarid.Address(parts[2]),
	}, nil
}
