package medlarreport

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarverdict"
)

// RoutePath is the path at an instance's status address at which it answers where a request would go.
const RoutePath = "/route"

// RouteVerdict is one instance's verdict on where a request would go now.
type RouteVerdict struct {
	Route   string             `json:"route"`
	Service medlarid.ServiceID `json:"service"`
	Account medlarid.AccountID `json:"account"`
	Version uint64             `json:"version"` // of the configuration
	medlarverdict.Verdict
	Needed []string `json:"needed"` // what is missing for a better choice
}

// Text writes v as text.
func (v RouteVerdict) Text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "route %s, service %s, account %s, configuration %d\n", v.Route, v.Service, cmp.Or(string(v.Account), "none"), v.Version)
	_, _ = fmt.Fprintln(w, v.outcome())
	if len(v.Candidates) > 0 {
		rows := [][]any{{"REPLICA", "ZONE", "EXPECTED", "WAITING", "FETCH", "COMPUTE", "ZONE COST", "LOADING", "COST", "PARTS", "NOTES"}}
		for _, c := range v.Candidates {
			rows = append(rows, []any{
				c.Replica, c.Zone, ms(c.Expected), ms(c.Waiting), ms(c.Fetch), ms(c.Compute), ms(c.Distance), ms(c.Loading), ms(c.Cost),
				fmt.Sprintf("%d cached, %d held", c.Cached, c.Held), v.notes(c),
			})
		}
		writeTable(w, rows...)
	}
	if len(v.Excluded) > 0 {
		rows := [][]any{{"EXCLUDED", "REASON", "NOTES"}}
		for _, x := range v.Excluded {
			notes := ""
			if x.Home {
				notes = "home"
			}
			rows = append(rows, []any{x.Replica, x.Reason, notes})
		}
		writeTable(w, rows...)
	}
	for _, n := range v.Needed {
		_, _ = fmt.Fprintf(w, "for a better choice: %s\n", n)
	}
}

// outcome returns what would happen as one line.
func (v *RouteVerdict) outcome() string {
	switch v.Outcome {
	case medlarverdict.Sent:
		return fmt.Sprintf("sent to %s; requests ahead: %d", v.Replica, v.Ahead)
	case medlarverdict.Refused:
		return fmt.Sprintf("refused: %s, retry after %.3g s; requests ahead: %d", v.Reason, v.Retry, v.Ahead)
	}
	return fmt.Sprintf("waits; requests ahead: %d", v.Ahead)
}

// notes returns the remarks on a candidate.
func (v *RouteVerdict) notes(c medlarverdict.Candidate) string {
	var notes []string
	if c.Replica == v.Replica {
		notes = append(notes, "chosen")
	}
	if c.Home {
		notes = append(notes, "home")
	}
	if c.Because != "" {
		notes = append(notes, "more: "+c.Because)
	}
	return strings.Join(notes, ", ")
}

// ms returns seconds as text in milliseconds.
func ms(seconds float64) string { return fmt.Sprintf("%.1f ms", seconds*1000) }
