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
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarattachednode"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/stand/medlarsite"
)

func platformCommand() *cobra.Command {
	var nodes int
	var dir, control string
	cfg := medlarsite.Default()
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an emulated platform with attached instances until a signal",
		Long: "Run an emulated platform with attached instances until a signal: the platform's store, model engines that respond\n" +
			"with event streams, a plain service, and an operator's configuration. The instances write their logs to\n" +
			"standard error.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir != "" {
				return runPlatform(cfg, control, func(s *medlarsite.Site) (func(), error) {
					return writeSettings(cmd.OutOrStdout(), s, dir, nodes, freeAddress)
				})
			}
			return runPlatform(cfg, control, func(s *medlarsite.Site) (func(), error) { return startAttached(cmd.OutOrStdout(), s, nodes) })
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&nodes, "nodes", 3, "number of attached instances in this process, or of settings files")
	flags.StringVar(&dir, "settings", "", "directory to write settings files to, for instances of other processes; none run in this process")
	flags.IntVar(&cfg.Engines, "engines", cfg.Engines, "number of replicas of the model engine")
	flags.IntVar(&cfg.Plain, "plain", cfg.Plain, "number of replicas of the plain service")
	flags.DurationVar(&cfg.ServiceTime, "work", cfg.ServiceTime, "service time of a plain request, and interval between two events of a stream")
	flags.IntVar(&cfg.AnswerBytes, "answer", cfg.AnswerBytes, "minimum length of the body of a plain response")
	flags.DurationVar(&cfg.ReadDelay, "read-delay", cfg.ReadDelay, "time until a replica of the plain service begins to read a long body")
	flags.IntVar(&cfg.Slots, "slots", cfg.Slots, "concurrent requests of each replica")
	flags.DurationVar(&cfg.RestartDelay, "restart", cfg.RestartDelay, "time from the crash of a replica until its successor starts; 0 for never")
	flags.BoolVar(&cfg.KeepID, "keep-id", false, "a successor has the id of the replica that crashed")
	flags.StringVar(&control, "control", "", "address on which to take commands that disturb the platform; empty for none")
	return cmd
}

// runPlatform starts a site, calls use with it, and waits for a signal. It then calls
// the stop function that use returned and closes the site.
func runPlatform(cfg medlarsite.Settings, control string, use func(*medlarsite.Site) (stop func(), err error)) error {
	site, err := medlarsite.New(cfg)
	if err != nil {
		return err
	}
	return runSite(site, control, site.ControlHandler(), use)
}

// runSite is runPlatform with a site that runs and the handler of its control address.
func runSite(site *medlarsite.Site, control string, handler fasthttp.RequestHandler, use func(*medlarsite.Site) (stop func(), err error)) error {
	defer site.Close()
	stop, err := use(site)
	if err != nil {
		return err
	}
	defer stop()
	if control != "" {
		server, err := medlarhost.New("control", control, medlarfault.New(), handler)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

// startAttached starts attached instances in this process and prints their addresses.
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
		printInstance(w, instance)
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}, nil
}

// writeSettings writes settings files for instances of other processes, which listen on
// what address returns, and prints their paths, status addresses and example requests.
func writeSettings(w io.Writer, site *medlarsite.Site, dir string, nodes int, address func() (medlarid.Address, error)) (func(), error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for i := range nodes {
		settings, _, err := site.InstanceSettings(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return nil, err
		}
		for _, at := range []*medlarid.Address{&settings.Listen, &settings.Status} {
			if *at, err = address(); err != nil {
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

// freeAddress returns a loopback address whose port was free at the time of the call.
func freeAddress() (medlarid.Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return medlarid.Address(ln.Addr().String()), nil
}

// printInstance prints the addresses of an instance and an example request.
func printInstance(w io.Writer, i *medlarattachednode.Instance) {
	_, _ = fmt.Fprintf(w, "callers http://%s  status http://%s\n", i.Address(), i.StatusAddress())
	_, _ = fmt.Fprintf(w, "  %s\n", medlarsite.CurlCommand(string(i.Address())))
}
