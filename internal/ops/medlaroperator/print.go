package medlaroperator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/base/medlarid"
)

// texter is a result that can be written for a person.
type texter interface {
	text(w io.Writer)
}

// print writes a result as the flag --output asks.
func (o *options) print(cmd *cobra.Command, v texter) error {
	w := cmd.OutOrStdout()
	switch o.output {
	case "text":
		v.text(w)
		return nil
	case "json":
		b, err := json.Marshal(v, json.Deterministic(true), jsontext.WithIndent("  "))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(w, string(b))
		return err
	default:
		return &Error{Op: OpRead, Kind: KindUsage, Err: eris.Errorf("--output: want text or json, got %q", o.output)}
	}
}

// table writes rows in columns.
func table(w io.Writer, rows ...[]any) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(t, "\t")
			}
			_, _ = fmt.Fprint(t, cell)
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}

type checked struct {
	Accounts int `json:"accounts"`
	Plans    int `json:"plans"`
	Models   int `json:"models"`
	Services int `json:"services"`
}

func (c checked) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "ok: %d accounts, %d plans, %d models, %d services\n", c.Accounts, c.Plans, c.Models, c.Services)
}

type published struct {
	Outcome string          `json:"outcome"`
	Version medlarid.Offset `json:"version"`
	ID      string          `json:"id,omitempty"`
}

func (p published) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: version %d\n", p.Outcome, p.Version)
}

// changes is a change for printing. Keys are digests and are shown as they are.
type changes struct {
	Version medlarid.Offset `json:"version"`
	Put     []changed       `json:"put"`
	Drop    []changed       `json:"drop"`
}

type changed struct {
	Table string         `json:"table"`
	Name  string         `json:"name"`
	Value jsontext.Value `json:"value,omitzero"`
}

func newChanges(v medlarid.Offset, c medlarlist.Change) changes {
	out := changes{Version: v, Put: []changed{}, Drop: []changed{}}
	for _, e := range c.Put {
		out.Put = append(out.Put, changed{medlarlist.TableName(e.Name.Table), e.Name.Name, jsontext.Value(e.Value)})
	}
	for _, n := range c.Drop {
		out.Drop = append(out.Drop, changed{Table: medlarlist.TableName(n.Table), Name: n.Name})
	}
	return out
}

func (c changes) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "against version %d: %d put, %d dropped\n", c.Version, len(c.Put), len(c.Drop))
	for _, e := range c.Put {
		_, _ = fmt.Fprintf(w, "+ %s %s %s\n", e.Table, e.Name, e.Value)
	}
	for _, e := range c.Drop {
		_, _ = fmt.Fprintf(w, "- %s %s\n", e.Table, e.Name)
	}
}

type historyRow struct {
	Offset  medlarid.Offset `json:"offset"`
	Base    medlarid.Offset `json:"base"`
	Time    time.Time       `json:"time"`
	User    string          `json:"user"`
	Note    string          `json:"note"`
	Changes int             `json:"changes"`
	Reject  string          `json:"reject,omitempty"`
	ID      string          `json:"id"`
}

type historyRows struct {
	Version medlarid.Offset `json:"version"`
	Rows    []historyRow    `json:"rows"`
}

func (h historyRows) text(w io.Writer) {
	rows := [][]any{{"OFFSET", "BASE", "TIME", "USER", "CHANGES", "VERDICT", "NOTE"}}
	for _, r := range h.Rows {
		verdict := "accepted"
		if r.Reject != "" {
			verdict = "rejected: " + r.Reject
		}
		if r.Offset == h.Version {
			verdict = "in force"
		}
		rows = append(rows, []any{r.Offset, r.Base, r.Time.UTC().Format(time.RFC3339), r.User, r.Changes, verdict, r.Note})
	}
	table(w, rows...)
}

type whenRow struct {
	Node medlarid.InstanceID `json:"node"`
	Zone medlarid.Zone       `json:"zone"`
	Time time.Time           `json:"time"`
}

type whenRows struct {
	Version medlarid.Offset `json:"version"`
	Time    time.Time       `json:"time"`
	User    string          `json:"user"`
	Nodes   []whenRow       `json:"nodes"`
	Missing []string        `json:"missing,omitempty"`
}

func (v whenRows) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "version %d, published %s by %q\n", v.Version, v.Time.UTC().Format(time.RFC3339Nano), v.User)
	rows := [][]any{{"NODE", "ZONE", "CONFIRMED"}}
	for _, n := range v.Nodes {
		rows = append(rows, []any{n.Node, n.Zone, n.Time.UTC().Format(time.RFC3339Nano)})
	}
	for _, m := range v.Missing {
		rows = append(rows, []any{m, "", "not yet"})
	}
	table(w, rows...)
}
