package medlarstandcmd

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/spf13/cobra"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarattachednode"
	"medlarfield/internal/stand/medlarsite"
)

func platformCommand() *cobra.Command {
	var nodes int
	var dir string
	cfg := medlarsite.Default()
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an emulated users' platform with attached instances until a signal",
		Long: "Run an emulated users' platform with attached instances until a signal: its store, model engines that answer\n" +
			"with event streams, a plain service, and an operator's configuration. The instances' log lines go to the\n" +
			"standard error output.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir != "" {
				return runPlatform(cfg, func(s *medlarsite.Site) (func(), error) { return writeSettings(cmd.OutOrStdout(), s, dir, nodes) })
			}
			return runPlatform(cfg, func(s *medlarsite.Site) (func(), error) { return startAttached(cmd.OutOrStdout(), s, nodes) })
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&nodes, "nodes", 3, "attached instances in this process, or settings files")
	flags.StringVar(&dir, "settings", "", "folder to write settings files to, for instances of other processes, instead of running any")
	flags.IntVar(&cfg.Engines, "engines", cfg.Engines, "replicas of the model engine")
	flags.IntVar(&cfg.Plain, "plain", cfg.Plain, "replicas of the plain service")
	flags.DurationVar(&cfg.Work, "work", cfg.Work, "time of a plain request, and between two events of a stream")
	return cmd
}

// runPlatform runs a site, with what use adds to it, until a signal.
func runPlatform(cfg medlarsite.Settings, use func(*medlarsite.Site) (stop func(), err error)) error {
	site, err := medlarsite.New(cfg)
	if err != nil {
		return err
	}
	defer site.Close()
	stop, err := use(site)
	if err != nil {
		return err
	}
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

// startAttached starts instances in this process.
func startAttached(w io.Writer, site *medlarsite.Site, nodes int) (func(), error) {
	var stops []func()
	for i := range nodes {
		settings, _, err := site.InstanceSettings(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return nil, err
		}
		instance, err := medlarattachednode.New(settings, os.Stderr)
		if err != nil {
			return nil, err
		}
		stop, err := instance.Start()
		if err != nil {
			return nil, err
		}
		stops = append(stops, stop)
		tellAttached(w, instance)
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}, nil
}

// writeSettings writes settings files for instances of other processes.
func writeSettings(w io.Writer, site *medlarsite.Site, dir string, nodes int) (func(), error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for i := range nodes {
		settings, _, err := site.InstanceSettings(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return nil, err
		}
		for _, at := range []*medlarid.Address{&settings.Listen, &settings.Status} {
			if *at, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		b, err := json.Marshal(settings, jsontext.WithIndent("  "))
		if err != nil {
			return nil, err
		}
		file := filepath.Join(dir, string(settings.Name)+".json")
		if err := os.WriteFile(file, b, 0o644); err != nil {
			return nil, err
		}
		_, _ = fmt.Fprintf(w, "%s  status http://%s\n  %s\n", file, settings.Status, medlarsite.CurlCommand(string(settings.Listen)))
	}
	return func() {}, nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (medlarid.Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return medlarid.Address(ln.Addr().String()), nil
}

// tellAttached prints an instance's addresses and requests that work.
func tellAttached(w io.Writer, i *medlarattachednode.Instance) {
	_, _ = fmt.Fprintf(w, "callers http://%s  status http://%s\n", i.Address(), i.StatusAddress())
	_, _ = fmt.Fprintf(w, "  %s\n", medlarsite.CurlCommand(string(i.Address())))
}
