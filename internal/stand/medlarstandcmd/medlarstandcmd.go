// Package medlarstandcmd implements the commands of medlarstand, which runs fakes of
// the platform, trials, measurements and load tests.
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

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "medlarstand",
		Short:         "Run fakes of the platform, an end-to-end trial, measurements and load",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(upCommand(), platformCommand(), trialCommand(), slopesCommand(), loadCommand(), availabilityCommand(), soakCommand(), memoryCommand(), faultsCommand(), medlarversion.Command())
	return root
}

func trialCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "trial",
		Short: "Continue a long prompt after cache eviction and after its replica was killed, with and without KV offload",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return medlartrial.Run(cmd.OutOrStdout()) },
	}
}

func slopesCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how the state, messages, time and memory of each role grow, and write slopes.md and slopes.svg",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			series, err := medlarslope.Run(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			return writeSlopes(out, series)
		},
	}
	cmd.Flags().StringVar(&out, "out", "docs", "directory to write to")
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
		Short: "Send prompts to entry instances and report the responses",
		Long:  "Send prompts to entry instances and report the responses. The exit code is 1 if a response was truncated.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, a := range at {
				s.Addresses = append(s.Addresses, medlarid.Address(a))
			}
			r := medlarload.Run(s)
			r.Print(cmd.OutOrStdout())
			if r.Truncated > 0 {
				return fmt.Errorf("%d responses were truncated", r.Truncated)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&at, "at", []string{"127.0.0.1:8081"}, "address of an entry instance; may be repeated")
	flags.StringVar(&s.Key, "key", medlartestbed.Key, "bearer key")
	flags.IntVar(&s.MaxTokens, "tokens", 64, "maximum number of tokens in a response")
	flags.IntVar(&s.Streams, "streams", 10, "concurrent prompts")
	flags.DurationVar(&s.Duration, "time", 5*time.Second, "duration of the load; no prompt starts after it")
	return cmd
}

func faultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "faults",
		Short: "List the faults that POST /fault on the control address can arm",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, d := range medlarfault.Table {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%-10s %s\n", d.Name, d.Text)
			}
		},
	}
}

// upFlags holds the flags of the up command.
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
		Short: "Run the fakes, with entry instances unless --nodes is 0, until a signal",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return up(cmd.OutOrStdout(), f) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.nodes, "nodes", 3, "number of entry instances in this process")
	flags.IntVar(&f.base, "base", 7001, "first port: the log service takes it and the instance list the next; with 0 each part takes a free port")
	flags.IntVar(&f.engines, "engines", 4, "number of model engines")
	flags.Float64Var(&f.speed, "speed", 1, "factor by which all times of engines and stores are divided")
	flags.BoolVar(&f.publish, "publish", true, "publish the example lists")
	flags.StringSliceVar(&f.entries, "entry", nil, "entry instance of another process to add to the instance list, as name=zone=address; may be repeated")
	return cmd
}

// up runs a test bed with entry instances until a signal.
func up(w io.Writer, f *upFlags) error {
	cfg := medlartestbed.Default()
	cfg.BasePort = f.base
	cfg.Engines = f.engines
	cfg.Speed = f.speed
	testbed, err := medlartestbed.New(cfg)
	if err != nil {
		return err
	}
	defer testbed.Close()
	if err := listEntries(testbed, f.entries); err != nil {
		return err
	}
	nodes, err := startNodes(testbed, f)
	if err != nil {
		return err
	}
	printAddresses(w, testbed, nodes)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	for _, n := range nodes {
		_ = n.Stop(10 * time.Second)
	}
	return nil
}

// listEntries adds entry instances of other processes to the instance list.
func listEntries(testbed *medlartestbed.Testbed, entries []string) error {
	for _, e := range entries {
		i, err := parseEntry(e)
		if err != nil {
			return err
		}
		testbed.List.Put(i)
	}
	return nil
}

// startNodes publishes the example lists, if asked to, and starts the entry instances.
func startNodes(testbed *medlartestbed.Testbed, f *upFlags) ([]*medlartestbed.RunningNode, error) {
	if f.publish {
		lists, err := medlartestbed.Lists()
		if err != nil {
			return nil, err
		}
		if _, err := testbed.Publish(lists); err != nil {
			return nil, err
		}
	}
	var nodes []*medlartestbed.RunningNode
	for i := range f.nodes {
		n, err := testbed.StartNode(testbed.NodeSettings(i), os.Stderr)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// printAddresses prints the addresses of the parts and instances, and an example request.
func printAddresses(w io.Writer, testbed *medlartestbed.Testbed, nodes []*medlartestbed.RunningNode) {
	_, _ = fmt.Fprintf(w, "log service    %s\ninstance list  %s\nweight store   %s\ncontrol        %s\n",
		testbed.LogServer.Address, testbed.ListServer.Address, testbed.WeightsServer.Address, testbed.Control.Address)
	for _, n := range nodes {
		_, _ = fmt.Fprintf(w, "%s        %s, status %s\n", n.Status().Name, n.Address(), n.StatusAddress())
	}
	if len(nodes) > 0 {
		_, _ = fmt.Fprintf(w, "\ncurl -N -H 'Authorization: Bearer %s' http://%s/v1/completions -d '{\"model\":\"casework\",\"prompt\":\"Dear parish,\",\"max_tokens\":16,\"stream\":true}'\n",
			medlartestbed.Key, nodes[0].Address())
	}
}

// parseEntry parses name=zone=address.
func parseEntry(s string) (medlarinstance.Instance, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 {
		return medlarinstance.Instance{}, fmt.Errorf("invalid --entry %q: want name=zone=address", s)
	}
	return medlarinstance.Instance{
		ID:      medlarid.InstanceID(parts[0]),
		Role:    medlarinstance.RoleEntry,
		Zone:    medlarid.Zone(parts[1]),
		Address: medlarid.Address(parts[2]),
	}, nil
}
