// Package medlarreport defines the results of the commands of medlarctl. Each can be written
// as JSON or as text.
package medlarreport

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"medlarfield/internal/agree/medlaraudit"
	"medlarfield/internal/agree/medlarlist"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/agree/medlarstate"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/ops/medlarnode"
)

// writeTable writes rows as aligned columns.
func writeTable(w io.Writer, rows ...[]any) {
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

// CheckResult has the sizes of the lists that were checked.
type CheckResult struct {
	Accounts int `json:"accounts"`
	Plans    int `json:"plans"`
	Models   int `json:"models"`
	Services int `json:"services"`
}

// Text writes c as text.
func (c CheckResult) Text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "ok: %d accounts, %d plans, %d models, %d services\n", c.Accounts, c.Plans, c.Models, c.Services)
}

// PublishResult is the outcome of a publication.
type PublishResult struct {
	Outcome string          `json:"outcome"`
	Version medlarid.Offset `json:"version"`
	ID      string          `json:"id,omitempty"`
}

// Text writes p as text.
func (p PublishResult) Text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: version %d\n", p.Outcome, p.Version)
}

// Changes is a change of the lists in printable form. Keys are printed in full, as the lists
// hold only their digests.
type Changes struct {
	Version medlarid.Offset `json:"version"`
	Put     []ChangedEntry  `json:"put"`
	Drop    []ChangedEntry  `json:"drop"`
}

// ChangedEntry is one changed or deleted entry.
type ChangedEntry struct {
	Table string         `json:"table"`
	Name  string         `json:"name"`
	Value jsontext.Value `json:"value,omitzero"`
}

// NewChanges returns the change c to version v in printable form.
func NewChanges(v medlarid.Offset, c medlarlist.Change) Changes {
	out := Changes{Version: v, Put: []ChangedEntry{}, Drop: []ChangedEntry{}}
	for _, e := range c.Put {
		out.Put = append(out.Put, ChangedEntry{medlarlist.TableName(e.Name.Table), e.Name.Name, jsontext.Value(e.Value)})
	}
	for _, n := range c.Delete {
		out.Drop = append(out.Drop, ChangedEntry{Table: medlarlist.TableName(n.Table), Name: n.Name})
	}
	return out
}

// Text writes c as text.
func (c Changes) Text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "against version %d: %d put, %d dropped\n", c.Version, len(c.Put), len(c.Drop))
	for _, e := range c.Put {
		_, _ = fmt.Fprintf(w, "+ %s %s %s\n", e.Table, e.Name, e.Value)
	}
	for _, e := range c.Drop {
		_, _ = fmt.Fprintf(w, "- %s %s\n", e.Table, e.Name)
	}
}

// HistoryRow is one publication.
type HistoryRow struct {
	Offset  medlarid.Offset `json:"offset"`
	Base    medlarid.Offset `json:"base"`
	Time    time.Time       `json:"time"`
	User    string          `json:"user"`
	Note    string          `json:"note"`
	Changes int             `json:"changes"`
	Reject  string          `json:"reject,omitempty"`
	ID      string          `json:"id"`
}

// History lists the publications in log order, and the version in force.
type History struct {
	Version medlarid.Offset `json:"version"`
	Rows    []HistoryRow    `json:"rows"`
}

// Text writes h as text.
func (h History) Text(w io.Writer) {
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
	writeTable(w, rows...)
}

// NewHistory returns the history of a view.
func NewHistory(v *medlarstate.View) History {
	out := History{Version: v.Version, Rows: []HistoryRow{}}
	for _, h := range v.History {
		out.Rows = append(out.Rows, HistoryRow{
			h.Offset, h.Base, h.Time, h.User, h.Note, h.Changes, string(h.Reject), h.ID.String(),
		})
	}
	return out
}

// Confirmation is the first confirmation of a version by an instance.
type Confirmation struct {
	Node medlarid.InstanceID `json:"node"`
	Zone medlarid.Zone       `json:"zone"`
	Time time.Time           `json:"time"`
}

// Confirmations lists the instances that have confirmed a version, and those that have not.
type Confirmations struct {
	Version medlarid.Offset `json:"version"`
	Time    time.Time       `json:"time"`
	User    string          `json:"user"`
	Nodes   []Confirmation  `json:"nodes"`
	Missing []string        `json:"missing,omitempty"`
}

// Text writes v as text.
func (v Confirmations) Text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "version %d, published %s by %q\n", v.Version, v.Time.UTC().Format(time.RFC3339Nano), v.User)
	rows := [][]any{{"NODE", "ZONE", "CONFIRMED"}}
	for _, n := range v.Nodes {
		rows = append(rows, []any{n.Node, n.Zone, n.Time.UTC().Format(time.RFC3339Nano)})
	}
	for _, m := range v.Missing {
		rows = append(rows, []any{m, "", "not yet"})
	}
	writeTable(w, rows...)
}

// Statuses has the status of several instances. Down lists those that did not respond.
type Statuses struct {
	Nodes []medlarnode.Status `json:"nodes"`
	Down  []string            `json:"down,omitempty"`
}

// Text writes s as text.
func (s Statuses) Text(w io.Writer) {
	rows := [][]any{{"NODE", "ZONE", "STATE", "VERSION", "LOG", "OPEN", "WAITING", "UPSTREAMS", "CONTEXT HIT", "REFUSED"}}
	for _, n := range s.Nodes {
		rows = append(rows, []any{
			n.Name, n.Zone, stateName(n), n.Version, logState(n), n.OpenRequests, n.Waiting, upstreamCount(n), hitRate(n), refusedText(n),
		})
	}
	for _, d := range s.Down {
		rows = append(rows, []any{d, "", "no answer"})
	}
	writeTable(w, rows...)
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
	if n.LogHealthy {
		return "ok"
	}
	return fmt.Sprintf("down for %.0f s", n.LagSeconds)
}

func upstreamCount(n medlarnode.Status) string {
	live := 0
	for _, u := range n.Upstreams {
		if u.State == "live" {
			live++
		}
	}
	return fmt.Sprintf("%d/%d", live, len(n.Upstreams))
}

func hitRate(n medlarnode.Status) string {
	if n.PromptTokens == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(n.CachedTokens)/float64(n.PromptTokens))
}

// refusedText lists the reasons of refusals, the most frequent first.
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

// Reasons lists the reasons of refusals and retries.
type Reasons struct {
	Refusals []medlarreason.Row `json:"refusals"`
	Retries  []medlarreason.Row `json:"retries"`
}

// Text writes r as text, in the form of docs/operate/reasons.md.
func (r Reasons) Text(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Reasons\n\nPrinted by `medlarctl reasons` from the table that the code uses.\n\n"+
		"## Refusals\n\n`medlar_refusals_total{reason=…}`; `ran` is the value that the response reports unless an attempt of the request reached an upstream.\n\n"+
		"| reason | status | ran | again | what happened | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.Refusals {
		_, _ = fmt.Fprintf(w, "| `%s` | %d | %s | %v | %s | %s |\n", row.Reason, row.Status, row.Ran, row.Retryable, row.Text, row.Advice)
	}
	_, _ = fmt.Fprint(w, "\n## Retries\n\n`medlar_retries_total{reason=…}`\n\n| reason | what happened | what to do |\n| --- | --- | --- |\n")
	for _, row := range r.Retries {
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s |\n", row.Reason, row.Text, row.Advice)
	}
}

// ListFile is one list in the format of its file.
type ListFile struct {
	Version  medlarid.Offset           `json:"version"`
	Accounts map[string]jsontext.Value `json:"accounts,omitempty"`
	Plans    map[string]jsontext.Value `json:"plans,omitempty"`
	Models   map[string]jsontext.Value `json:"models,omitempty"`
	Services map[string]jsontext.Value `json:"services,omitempty"`

	list string
}

// Text writes s as text, in the format of the list's file.
func (s ListFile) Text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "// version %d\n{\n", s.Version)
	if s.list == "plans" {
		writeSection(w, "accounts", s.Accounts, true)
	} else {
		writeSection(w, "plans", s.Plans, false)
		writeSection(w, "models", s.Models, false)
		writeSection(w, "services", s.Services, true)
	}
	_, _ = fmt.Fprintln(w, "}")
}

// writeSection writes one table of a list with one entry per line.
func writeSection(w io.Writer, name string, entries map[string]jsontext.Value, last bool) {
	_, _ = fmt.Fprintf(w, "  %q: {\n", name)
	for _, k := range slices.Sorted(maps.Keys(entries)) {
		_, _ = fmt.Fprintf(w, "    %q: %s,\n", k, entries[k])
	}
	end := "  },"
	if last {
		end = "  }"
	}
	_, _ = fmt.Fprintln(w, end)
}

// NewListFile returns the list with the name "plans" or "uses" from a view.
func NewListFile(v *medlarstate.View, list string) ListFile {
	s := ListFile{Version: v.Version, list: list}
	tables := map[medlarrecord.Table]*map[string]jsontext.Value{
		medlarrecord.Table_TABLE_PLAN:    &s.Plans,
		medlarrecord.Table_TABLE_MODEL:   &s.Models,
		medlarrecord.Table_TABLE_SERVICE: &s.Services,
	}
	if list == "plans" {
		tables = map[medlarrecord.Table]*map[string]jsontext.Value{medlarrecord.Table_TABLE_ACCOUNT: &s.Accounts}
	}
	for _, t := range tables {
		*t = map[string]jsontext.Value{}
	}
	for _, e := range v.Lists.Entries() {
		if t, ok := tables[e.Name.Table]; ok {
			(*t)[e.Name.Name] = jsontext.Value(e.Value)
		}
	}
	return s
}

// NewConfirmations returns the instances that have confirmed a version.
func NewConfirmations(v medlarstate.Verdict, audit *medlaraudit.Table) Confirmations {
	out := Confirmations{Version: v.Offset, Time: v.Time, User: v.User, Nodes: []Confirmation{}}
	for _, c := range audit.FirstConfirmations(v.Offset) {
		out.Nodes = append(out.Nodes, Confirmation{c.Node, c.Zone, c.Time})
	}
	return out
}
