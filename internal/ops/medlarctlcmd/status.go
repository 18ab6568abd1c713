package medlarctlcmd

import (
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarnode"
	"medlarfield/internal/ops/medlarreport"
	"medlarfield/internal/upstream/medlarhttp"
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status ADDRESS…",
		Short: "Show the state of the entry instances at the given status addresses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var out medlarreport.Statuses
			h := medlarhttp.New(idleTimeout)
			for _, a := range args {
				var s medlarnode.Status
				call := medlarhttp.Request{Method: "GET", Address: medlarid.Address(a), Path: "/status", Timeout: callTimeout}
				if err := h.DoJSON(call, nil, &s); err != nil {
					out.Down = append(out.Down, a)
					continue
				}
				out.Nodes = append(out.Nodes, s)
			}
			if err := o.print(cmd, out); err != nil {
				return err
			}
			if len(out.Down) > 0 {
				return &Error{Op: OpStatus, Kind: KindUnavailable, Err: eris.Errorf("%d instances do not respond", len(out.Down))}
			}
			return nil
		},
	}
}

func reasonsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "reasons",
		Short: "Print the reasons of refusals and retries, as in docs/operate/reasons.md",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.print(cmd, medlarreport.Reasons{Refusals: medlarreason.Refusals, Retries: medlarreason.Retries})
		},
	}
}
