package medlarctlcmd

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/edge/medlarauth"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarinstance"
)

// watchInterval is the time between two reads of the confirmations.
const watchInterval = 100 * time.Millisecond

// withReader reads the lists from the log and calls f with the reader.
func (o *options) withReader(cmd *cobra.Command, f func(context.Context, *reader) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	r, err := o.open(ctx)
	if err != nil {
		return err
	}
	return f(ctx, r)
}

func showCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:       "show plans|uses",
		Short:     "Print a list in force in the format of its file",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"plans", "uses"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.withReader(cmd, func(_ context.Context, r *reader) error {
				return o.print(cmd, medlarreport.NewListFile(r.state.View(), args[0]))
			})
		},
	}
}

func historyCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the publications, accepted and rejected",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withReader(cmd, func(_ context.Context, r *reader) error {
				return o.print(cmd, medlarreport.NewHistory(r.state.View()))
			})
		},
	}
}

func whenCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "when TIME",
		Short: "Show which version was in force at TIME (RFC 3339) and which instances had confirmed it",
		Long: "Show which version was in force at TIME, such as 2026-12-03T10:00:00Z, and when instances confirmed it.\n" +
			"Times are those of the log service; an instance applies a version before it confirms it.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := time.Parse(time.RFC3339Nano, args[0])
			if err != nil {
				return &Error{Op: OpWhen, Kind: KindUsage, Err: eris.New("want a time such as 2026-12-03T10:00:00Z")}
			}
			return o.withReader(cmd, func(_ context.Context, r *reader) error {
				v, ok := r.state.View().VerdictAt(t)
				if !ok {
					return &Error{Op: OpWhen, Kind: KindUsage, Err: eris.New("no version was in force at that time, as far as the log goes back")}
				}
				audit, err := r.readAudit()
				if err != nil {
					return err
				}
				return o.print(cmd, medlarreport.NewConfirmations(v, audit))
			})
		},
	}
}

func watchCommand(o *options) *cobra.Command {
	var instances string
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Wait until the newest version is in force on every entry instance",
		Long: "Wait until the newest version is in force on every entry instance of the platform's list, and print when\n" +
			"each confirmed it. If instances lag after --timeout, list them and exit with code 6.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withReader(cmd, func(ctx context.Context, r *reader) error {
				return o.watch(ctx, cmd, r, medlarid.Address(instances))
			})
		},
	}
	cmd.Flags().StringVar(&instances, "instances", envOr("MEDLAR_INSTANCES", "127.0.0.1:7002"),
		"address of the instance list; MEDLAR_INSTANCES sets the default")
	return cmd
}

func (o *options) watch(ctx context.Context, cmd *cobra.Command, r *reader, listAddress medlarid.Address) error {
	list := medlarinstance.New(medlarhttp.New(idleTimeout), listAddress, callTimeout)
	for {
		out, err := readConfirmations(r, list)
		if err != nil {
			return err
		}
		if len(out.Missing) == 0 {
			return o.print(cmd, out)
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			if err := o.print(cmd, out); err != nil {
				return err
			}
			return &Error{Op: OpWatch, Kind: KindLagging, Err: eris.Errorf("%d instances have not confirmed version %d", len(out.Missing), out.Version)}
		}
	}
}

func readConfirmations(r *reader, list *medlarinstance.Client) (medlarreport.Confirmations, error) {
	l, err := list.List()
	if err != nil {
		return medlarreport.Confirmations{}, &Error{Op: OpWatch, Kind: KindUnavailable, Err: err}
	}
	audit, err := r.readAudit()
	if err != nil {
		return medlarreport.Confirmations{}, err
	}
	v := r.state.View()
	verdict := medlarstate.Verdict{Offset: v.Version}
	for _, h := range v.History {
		if h.Offset == v.Version {
			verdict = h
		}
	}
	out := medlarreport.NewConfirmations(verdict, audit)
	confirmed := map[medlarid.InstanceID]bool{}
	for _, n := range out.Nodes {
		confirmed[n.Node] = true
	}
	entries := 0
	for _, i := range l.Instances {
		if i.Role != medlarinstance.RoleEntry || i.Leaving {
			continue
		}
		entries++
		if !confirmed[i.ID] {
			out.Missing = append(out.Missing, string(i.ID))
		}
	}
	if entries == 0 { // the list can lag behind, so an empty one does not show that all instances confirmed
		out.Missing = []string{"(no entry instance is listed)"}
	}
	return out, nil
}

func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Read a bearer key from standard input and print its digest for the plans list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var key string
			if _, err := fmt.Fscanln(cmd.InOrStdin(), &key); err != nil {
				return &Error{Op: OpRead, Kind: KindUsage, Err: eris.New("want a key on standard input")}
			}
			digest := medlarauth.Digest(key)
			cmd.Println(hex.EncodeToString(digest[:]))
			return nil
		},
	}
}
