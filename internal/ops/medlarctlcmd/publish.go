package medlarctlcmd

import (
	"context"
	"os/user"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarpublish"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarreport"
)

func diffCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff",
		Short: "Show what publishing the two files would change",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			want, err := o.readFiles()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			r, err := o.open(ctx)
			if err != nil {
				return err
			}
			v := r.state.View()
			return o.print(cmd, medlarreport.NewChanges(v.Version, medlarlist.Diff(v.Lists, want)))
		},
	}
	o.addFiles(cmd)
	return cmd
}

func publishCommand(o *options) *cobra.Command {
	var base uint64
	var who, note string
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish the two files as a change of the version that they were made from",
		Long: "Publish the two files as a change of version --base, the one that they were made from.\n\n" +
			"If another publication from the same version came first in the log, this one is rejected (exit code 3)\n" +
			"and what differs from the version now in force is shown.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.publish(cmd, medlarid.Offset(base), who, note)
		},
	}
	o.addFiles(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the files were made from; 0 for the first publication")
	cmd.Flags().StringVar(&who, "user", currentUser(), "who publishes")
	cmd.Flags().StringVar(&note, "note", "", "why, for the history")
	_ = cmd.MarkFlagRequired("base")
	return cmd
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func (o *options) publish(cmd *cobra.Command, base medlarid.Offset, who, note string) error {
	want, err := o.readFiles()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	defer cancel()
	r, err := o.open(ctx)
	if err != nil {
		return err
	}
	v := r.state.View()
	change := medlarlist.Diff(v.Lists, want)
	if change.Empty() { // also after an earlier try whose result was lost
		return o.print(cmd, medlarreport.PublishResult{Outcome: "unchanged", Version: v.Version})
	}
	if v.Version != base {
		return o.lost(cmd, v, base, want)
	}
	appendLists := func(records ...[]byte) (medlarid.Offset, error) {
		return r.log.Append(medlarrecord.StreamLists, records...)
	}
	p := medlarpublish.New("medlarctl/"+who, appendLists, r.state.View)
	res := p.Publish(ctx, medlarpublish.Request{Base: base, Change: change, Digest: want.Digest, User: who, Note: note})
	return o.report(cmd, r, base, want, res)
}

// report prints what became of a publication and returns the error for its exit
// code.
func (o *options) report(cmd *cobra.Command, r *reader, base medlarid.Offset, want *medlarlist.Lists, res medlarpublish.Result) error {
	out := medlarreport.PublishResult{Outcome: string(res.Outcome), ID: res.ID.String(), Version: res.Verdict.Offset}
	switch res.Outcome {
	case medlarpublish.OutcomeAccepted:
		return o.print(cmd, out)
	case medlarpublish.OutcomeRejected:
		if res.Verdict.Reject == medlarstate.RejectBaseMismatch {
			return o.lost(cmd, r.state.View(), base, want)
		}
		return &Error{Op: OpPublish, Kind: KindRejected, Err: eris.Errorf("at offset %d: %s", res.Verdict.Offset, res.Verdict.Reject)}
	case medlarpublish.OutcomeUnknown:
		if err := o.print(cmd, out); err != nil {
			return err
		}
		return &Error{Op: OpPublish, Kind: KindUnknown, Err: eris.Errorf("no verdict on %s; look for it in medlarctl history: %v", res.ID, res.Err)}
	default:
		return &Error{Op: OpPublish, Kind: KindUnavailable, Err: eris.Wrap(res.Err, "not published")}
	}
}

// lost tells who won the race and what differs.
func (o *options) lost(cmd *cobra.Command, v *medlarstate.View, base medlarid.Offset, want *medlarlist.Lists) error {
	if err := o.print(cmd, medlarreport.NewChanges(v.Version, medlarlist.Diff(v.Lists, want))); err != nil {
		return err
	}
	who, at := "", time.Time{}
	for _, h := range v.History {
		if h.Offset == v.Version {
			who, at = h.User, h.Time
		}
	}
	return &Error{Op: OpPublish, Kind: KindRejected, Err: eris.Errorf(
		"version %d was published by %q at %s; these files were made from %d, and differ from %d as shown",
		v.Version, who, at.UTC().Format(time.RFC3339), base, v.Version)}
}
