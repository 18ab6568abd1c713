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
	o.addFileFlags(cmd)
	return cmd
}

func publishCommand(o *options) *cobra.Command {
	var base uint64
	var userName, note string
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish the two files as a change to the version that they are based on",
		Long: "Publish the two files as a change to version --base, the version that they are based on.\n\n" +
			"If another publication based on the same version comes first in the log, this one is rejected (exit\n" +
			"code 3), and its differences from the version in force are printed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.publish(cmd, medlarid.Offset(base), userName, note)
		},
	}
	o.addFileFlags(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the files are based on; 0 for the first publication")
	cmd.Flags().StringVar(&userName, "user", currentUser(), "user name recorded in the history")
	cmd.Flags().StringVar(&note, "note", "", "reason recorded in the history")
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

func (o *options) publish(cmd *cobra.Command, base medlarid.Offset, userName, note string) error {
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
	if change.Empty() { // also the case after an earlier attempt whose result was lost
		return o.print(cmd, medlarreport.PublishResult{Outcome: "unchanged", Version: v.Version})
	}
	if v.Version != base {
		return o.reportConflict(cmd, v, base, want)
	}
	appendLists := func(records ...[]byte) (medlarid.Offset, error) {
		return r.log.Append(medlarrecord.StreamLists, records...)
	}
	p := medlarpublish.New("medlarctl/"+userName, appendLists, r.state.View)
	res := p.Publish(ctx, medlarpublish.Request{Base: base, Change: change, Digest: want.Digest, User: userName, Note: note})
	return o.reportResult(cmd, r, base, want, res)
}

// reportResult prints the outcome of a publication and returns the error that gives the exit
// code.
func (o *options) reportResult(cmd *cobra.Command, r *reader, base medlarid.Offset, want *medlarlist.Lists, res medlarpublish.Result) error {
	out := medlarreport.PublishResult{Outcome: string(res.Outcome), ID: res.ID.String(), Version: res.Verdict.Offset}
	switch res.Outcome {
	case medlarpublish.OutcomeAccepted:
		return o.print(cmd, out)
	case medlarpublish.OutcomeRejected:
		if res.Verdict.Reject == medlarstate.RejectBaseMismatch {
			return o.reportConflict(cmd, r.state.View(), base, want)
		}
		return &Error{Op: OpPublish, Kind: KindRejected, Err: eris.Errorf("at offset %d: %s", res.Verdict.Offset, res.Verdict.Reject)}
	case medlarpublish.OutcomeUnknown:
		if err := o.print(cmd, out); err != nil {
			return err
		}
		return &Error{Op: OpPublish, Kind: KindUnknown, Err: eris.Errorf("no verdict on publication %s; look for it in medlarctl history: %v", res.ID, res.Err)}
	default:
		return &Error{Op: OpPublish, Kind: KindUnavailable, Err: eris.Wrap(res.Err, "not published")}
	}
}

// reportConflict prints how the files differ from the version in force, and returns an error
// that names the user who published that version.
func (o *options) reportConflict(cmd *cobra.Command, v *medlarstate.View, base medlarid.Offset, want *medlarlist.Lists) error {
	if err := o.print(cmd, medlarreport.NewChanges(v.Version, medlarlist.Diff(v.Lists, want))); err != nil {
		return err
	}
	userName, at := "", time.Time{}
	for _, h := range v.History {
		if h.Offset == v.Version {
			userName, at = h.User, h.Time
		}
	}
	return &Error{Op: OpPublish, Kind: KindRejected, Err: eris.Errorf(
		"version %d was published by %q at %s; these files are based on version %d, and the output shows how they differ from %d",
		v.Version, userName, at.UTC().Format(time.RFC3339), base, v.Version)}
}
