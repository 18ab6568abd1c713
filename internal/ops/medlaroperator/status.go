package medlaroperator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarnode"
	"medlarfield/internal/platform/medlarhttp"
)

// statuses are the states of several instances.
type statuses struct {
	Nodes []medlarnode.Status `json:"nodes"`
	Down  []string            `json:"down,omitempty"`
}

func (s statuses) text(w io.Writer) {
	rows := [][]any{{"NODE", "ZONE", "STATE", "VERSION", "LOG", "OPEN", "WAITING", "UPSTREAMS", "CONTEXT HIT", "REFUSED"}}
	for _, n := range s.Nodes {
		rows = append(rows, []any{
			n.Name, n.Zone, stateName(n), n.Version, logState(n), n.Open, n.Waiting, upstreamCount(n), hitRate(n), refusedText(n),
		})
	}
	for _, d := range s.Down {
		rows = append(rows, []any{d, "", "no answer"})
	}
	table(w, rows...)
}

func stateName(n medlarnode.Status) string {
	switch {
	case n.Draining:
		return "draining"
	case n.Ready:
		return "ready"
	default:
		return "unready"
	}
}

func logState(n medlarnode.Status) string {
	if n.Log {
		return "ok"
	}
	return fmt.Sprintf("down for %.0f s", n.Lag)
}

func upstreamCount(n medlarnode.Status) string {
	live := 0
	for _, u := range n.Upstream {
		if u.State == "live" {
			live++
		}
	}
	return fmt.Sprintf("%d/%d", live, len(n.Upstream))
}

func hitRate(n medlarnode.Status) string {
	if n.Prompt == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(n.Cached)/float64(n.Prompt))
}

// refusedText lists the most frequent reasons first.
func refusedText(n medlarnode.Status) string {
	reasons := slices.SortedFunc(maps.Keys(n.Refused), func(a, b medlarreason.Reason) int {
		return cmp.Or(cmp.Compare(n.Refused[b], n.Refused[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, r := range reasons {
		parts = append(parts, fmt.Sprintf("%s %d", r, n.Refused[r]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status ADDRESS…",
		Short: "Show the state of entry instances by their status addresses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var out statuses
			h := medlarhttp.New(idleTimeout)
			for _, a := range args {
				var s medlarnode.Status
				call := medlarhttp.Call{Method: "GET", Address: medlarid.Address(a), Path: "/status", Timeout: callTimeout}
				if err := h.JSON(call, nil, &s); err != nil {
					out.Down = append(out.Down, a)
					continue
				}
				out.Nodes = append(out.Nodes, s)
			}
			if err := o.print(cmd, out); err != nil {
				return err
			}
			if len(out.Down) > 0 {
				return &Error{Op: OpStatus, Kind: KindUnavailable, Err: eris.Errorf("%d instances do not answer", len(out.Down))}
			}
			return nil
		},
	}
}

// reasonRows are the reasons of refusals and retries.
type reasonRows struct {
	Refusals []medlarreason.Row `json:"refusals"`
	Retries  []medlarreason.Row `json:"retries"`
}

func (r reasonRows) text(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Reasons\n\nPrinted by `medlarctl reasons` from the table that the code uses.\n\n"+
		"## Refusals\n\n`medlar_refusals_total{reason=…}`; `ran` is what the answer says unless the run itself knows better.\n\n"+
		"| reason | status | ran | again | what happened | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.Refusals {
		_, _ = fmt.Fprintf(w, "| `%s` | %d | %s | %v | %s | %s |\n", row.Reason, row.Status, row.Ran, row.Again, row.Text, row.Advice)
	}
	_, _ = fmt.Fprint(w, "\n## Retries\n\n`medlar_retries_total{reason=…}`\n\n| reason | what happened | what to do |\n| --- | --- | --- |\n")
	for _, row := range r.Retries {
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s |\n", row.Reason, row.Text, row.Advice)
	}
}

func reasonsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "reasons",
		Short: "Print the reasons of refusals and retries, as docs/operate/reasons.md has them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.print(cmd, reasonRows{Refusals: medlarreason.Refusals, Retries: medlarreason.Retries})
		},
	}
}
