// Package medlarctlcmd implements the command line of medlarctl, the operators' client.
// It publishes changes to the two lists and reads their history. It sends no commands to
// instances.
package medlarctlcmd

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarjson"
	"medlarfield/internal/ops/medlarlogcommand"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/internal/ops/medlarversion"
)

// Exit codes of medlarctl.
const (
	ExitOK          = 0
	ExitUsage       = 1 // invalid arguments, or any other failure
	ExitInvalid     = 2 // a file is not valid
	ExitRejected    = 3 // the publication was rejected, such as because another one came first
	ExitUnknown     = 4 // the publication may have taken effect
	ExitUnavailable = 5 // the log service or an instance does not respond
	ExitLagging     = 6 // a version is not in force on every instance
)

// Op names the operation that failed.
type Op string

// Operations.
const (
	OpRead    Op = "read"
	OpPublish Op = "publish"
	OpWatch   Op = "watch"
	OpStatus  Op = "status"
	OpWhen    Op = "when"
	OpRoute   Op = "route"
)

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindUsage       Kind = "usage"
	KindRejected    Kind = "rejected"
	KindUnknown     Kind = "unknown"
	KindUnavailable Kind = "unavailable"
	KindLagging     Kind = "lagging"
)

// Error describes a failed command.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code of a command that returned err.
func ExitCode(err error) int {
	var e *Error
	var fileErr *medlarjson.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fileErr):
		return ExitInvalid
	case !errors.As(err, &e):
		return ExitUsage
	}
	codes := map[Kind]int{
		KindRejected:    ExitRejected,
		KindUnknown:     ExitUnknown,
		KindUnavailable: ExitUnavailable,
		KindLagging:     ExitLagging,
	}
	if code, ok := codes[e.Kind]; ok {
		return code
	}
	return ExitUsage
}

// options holds the flags that several commands share.
type options struct {
	log     string
	plans   string
	uses    string
	output  string
	timeout time.Duration
}

// New returns the root command.
func New() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "medlarctl",
		Short: "Operators' client: checks, publishes and reads the two lists",
		Long: "medlarctl checks, publishes and reads the two lists: the plans of the client accounts, and what each\n" +
			"plan may use.\n\n" +
			"Exit codes: 0 success, 1 invalid arguments or another failure, 2 a file is not valid, 3 the publication\n" +
			"was rejected, 4 it may have taken effect, 5 the log service or an instance does not respond, 6 a version\n" +
			"is not in force on every instance.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	flags := root.PersistentFlags()
	flags.StringVar(&o.log, "log", envOr("MEDLAR_LOG", "127.0.0.1:7001"), "address of the log service; MEDLAR_LOG sets the default")
	flags.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "time limit of the whole command")
	root.AddCommand(
		checkCommand(o), diffCommand(o), publishCommand(o), showCommand(o), historyCommand(o),
		whenCommand(o), watchCommand(o), statusCommand(o), reasonsCommand(o), medlarlogcommand.Explain(), routeCommand(o), medlarlogcommand.Timeline(), keyCommand(), medlarversion.Command(),
	)
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// addFileFlags adds the flags for the paths of the two files.
func (o *options) addFileFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.plans, "plans", "plans.json", "path of the plans list")
	cmd.Flags().StringVar(&o.uses, "uses", "uses.json", "path of the uses list")
}

// readFiles reads and validates the two files.
func (o *options) readFiles() (*medlarlist.Lists, error) {
	plans, err := medlarjson.ReadFile(o.plans)
	if err != nil {
		return nil, err
	}
	uses, err := medlarjson.ReadFile(o.uses)
	if err != nil {
		return nil, err
	}
	return medlarlist.Parse(plans, uses)
}

func (o *options) address() medlarid.Address { return medlarid.Address(o.log) }

func checkCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the two files without publishing them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := o.readFiles()
			if err != nil {
				return err
			}
			return o.print(cmd, medlarreport.CheckResult{Accounts: len(l.Accounts), Plans: len(l.Plans), Models: len(l.Models), Services: len(l.Services)})
		},
	}
	o.addFileFlags(cmd)
	return cmd
}
