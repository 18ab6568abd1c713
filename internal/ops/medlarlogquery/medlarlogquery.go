// Package medlarlogquery reconstructs from the log lines of several instances what happened
// to a request, an instance, a replica or a store, and on which state decisions were based.
//
// Rules:
//
//	R1  Lines that hold no JSON object, and lines of other programs, are skipped.
//	R2  The output for a request has the request's own lines, and those lines of the same
//	    instance in the time before the request's end that record a change of the state of
//	    the replicas and stores that the request used, or of the catalog.
//	R3  Lines are sorted by time. Lines of the same time stay in the order in which they
//	    were read.
package medlarlogquery

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/rotisserie/eris"

	"medlarfield/internal/core/medlarreason"
)

// stateWindow is the time before a request's end in which state changes are shown.
const stateWindow = 10 * time.Second

// maxLine is the largest size of a log line in bytes.
const maxLine = 1 << 20

// Op names the operation that failed.
type Op string

// OpRead reads log lines.
const OpRead Op = "read log"

// Kind classifies a failure.
type Kind string

// Kinds of failure.
const (
	KindInput    Kind = "input"
	KindNotFound Kind = "absent" // no line has the id or name
)

// Error is a query that failed.
type Error struct {
	Op   Op
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Decision is the state that the choice of a replica was based on, as logged.
type Decision struct {
	Candidates   int     `json:"choices"`
	Pending      float64 `json:"pending"`
	Window       float64 `json:"window"`
	TotalPending float64 `json:"all"`
	TotalWindow  float64 `json:"bound"` // limit of TotalPending
	Lag          float64 `json:"lag"`   // ms
}

// Line is one log line of an attached instance, with the fields that are used here.
type Line struct {
	Time       time.Time           `json:"time"`
	Instance   string              `json:"instance"`
	Event      string              `json:"event"`
	Message    string              `json:"message"`
	ID         string              `json:"id"`
	Account    string              `json:"account"`
	Route      string              `json:"route"`
	Service    string              `json:"service"`
	Config     uint64              `json:"config"`
	Status     int                 `json:"status"`
	Complete   bool                `json:"whole"`
	Attempts   int                 `json:"attempts"`
	Attempt    int                 `json:"attempt"`
	Replica    string              `json:"replica"`
	Build      string              `json:"build"`   // software version of the replica
	Last       string              `json:"last"`    // id of the event after which the client resumes a stream
	Resumes    string              `json:"resumes"` // id of the request that began that stream
	Store      string              `json:"store"`
	Cause      string              `json:"cause"`
	Reason     medlarreason.Reason `json:"reason"`
	Ran        string              `json:"ran"`
	Reached    bool                `json:"reached"`
	After      float64             `json:"after"`
	Waited     float64             `json:"waited"`
	FirstByte  float64             `json:"first"`
	Took       float64             `json:"took"`
	Waiting    int                 `json:"waiting"`
	Replicas   int                 `json:"kin"`
	Parts      any                 `json:"parts"`    // part states as letters for a request, or a count for a store
	Framing    string              `json:"framing"`  // of the replica's response
	Partial    int                 `json:"partial"`  // bytes of an incomplete event at the response's end
	Followed   bool                `json:"followed"` // further bytes came behind the body
	Lost       bool                `json:"lost"`     // the replica ended the connection before its response was complete
	Began      float64             `json:"began"`    // ms from the first event of the response until the attempt ended
	Prompt     []string            `json:"prompt"`   // parts of the prompt but the last
	Prints     []string            `json:"print"`    // of the request as a whole, and of its path, account and body
	Size       int                 `json:"size"`     // bytes of the request's body
	Part       string              `json:"part"`     // of prompts, or the hash of a request, that crashes replicas
	Begun      []string            `json:"begun"`    // parts and hashes of requests that a replica had begun to answer when it crashed
	Queued     []string            `json:"queued"`   // of all others that were lost with it
	Crashes    int                 `json:"crashes"`  // of which it is suspected
	Serial     uint64              `json:"serial"`   // of an assignment of streams to software versions
	From       string              `json:"from"`     // software versions with their buckets before the assignment
	To         string              `json:"to"`       // and with it
	Trials     int                 `json:"trials"`   // of what is blocked
	Decision   *Decision           `json:"why"`
	Error      string              `json:"error"`
	Readmitted bool                `json:"back"`
	Leaving    bool                `json:"leaving"`
	Limited    bool                `json:"limited"`
	Limit      float64             `json:"limit"`   // requests per second
	Version    any                 `json:"version"` // of the weights or of the catalog
	Dependency string              `json:"dependency"`
}

// Read parses log lines (R1).
func Read(in io.Reader) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		if i < 0 {
			continue
		}
		var l Line
		if json.Unmarshal([]byte(s.Text()[i:]), &l) == nil && l.Event != "" {
			out = append(out, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, &Error{Op: OpRead, Kind: KindInput, Err: err}
	}
	return out, nil
}

// Explain writes the history of a request.
func Explain(w io.Writer, lines []Line, id string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) }) // R3
	var own []Line
	for _, l := range lines {
		if l.ID == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return &Error{Op: OpRead, Kind: KindNotFound, Err: eris.Errorf("no line has the id %q", id)}
	}
	for _, l := range lines {
		if l.ID == id {
			writeLine(w, l, describeRequest(l))
		} else if changesStateOf(l, own) {
			writeLine(w, l, "  "+describeStateChange(l))
		}
	}
	return nil
}

// changesStateOf reports whether a line records a change of the state that a request with the
// lines own depended on (R2).
func changesStateOf(l Line, own []Line) bool {
	end := own[len(own)-1].Time
	if l.ID != "" || l.Time.After(end) || end.Sub(l.Time) > stateWindow {
		return false
	}
	for _, o := range own {
		if l.Instance != o.Instance {
			continue
		}
		switch l.Event {
		case "catalog", "weights", "lost", "regained", "stop", "start", "stock":
			return true
		case "builds":
			if l.Service == o.Service {
				return true
			}
		case "block", "trial":
			if l.Part == o.Part {
				return true
			}
		case "replica", "ejection", "avoid", "order", "crash", "limit":
			if l.Replica == o.Replica {
				return true
			}
		}
	}
	return false
}

func writeLine(w io.Writer, l Line, text string) {
	_, _ = fmt.Fprintf(w, "%s %-16s %s\n", l.Time.UTC().Format("15:04:05.000"), l.Instance, text)
}

// describeRequest describes a line of the request itself.
func describeRequest(l Line) string {
	if l.Event == "attempt" {
		return describeAttempt(l)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request of account %q on route %q to service %q under configuration %d: ", l.Account, l.Route, l.Service, l.Config)
	switch {
	case l.Status == 0:
		b.WriteString("the connection ended without a response")
	case l.Complete:
		fmt.Fprintf(&b, "answered %d", l.Status)
	default:
		fmt.Fprintf(&b, "response %d was incomplete", l.Status)
	}
	fmt.Fprintf(&b, " after %.0f ms, first byte at %.0f ms, %d attempts", l.Took, l.FirstByte, l.Attempts)
	if l.Attempts > 0 {
		fmt.Fprintf(&b, ", the last at %s%s, the first after %.0f ms in the queue", l.Replica, buildText(l), l.Waited)
	}
	if l.Last != "" {
		fmt.Fprintf(&b, "; resumes the stream of %s after event %s", l.Resumes, l.Last)
	}
	if l.Reason != "" {
		fmt.Fprintf(&b, "; %s, ran: %s, %d requests waited for %d replicas", reasonText(l.Reason), l.Ran, l.Waiting, l.Replicas)
	}
	if l.Part != "" {
		fmt.Fprintf(&b, "; blocked: %s", l.Part)
	}
	if s, ok := l.Parts.(string); ok && s != "" {
		fmt.Fprintf(&b, "; prompt parts: %s", partsText(s))
	}
	b.WriteString(bodyEndText(l))
	return b.String()
}

// bodyEndText describes the end of the replica's response; it is empty if none was received.
func bodyEndText(l Line) string {
	s := ""
	if l.Framing != "" {
		s = "; framing of the replica's response: " + l.Framing
	}
	if l.Partial > 0 {
		s += fmt.Sprintf(", ended within an event after %d bytes of it", l.Partial)
	}
	if l.Followed {
		s += ", further bytes came behind its body"
	}
	return s
}

func describeAttempt(l Line) string {
	ran := "it did not run there"
	if l.Reached {
		ran = "it may have run there"
	}
	s := fmt.Sprintf("attempt %d at %s%s ended after %.0f ms: %s; %s", l.Attempt, l.Replica, buildText(l), l.Took, reasonText(l.Reason), ran)
	if l.Status > 0 {
		s += fmt.Sprintf("; status %d", l.Status)
	}
	if l.Decision != nil {
		s += fmt.Sprintf("; chosen from %d replicas, %.0f tokens pending there (limit %.0f), %.0f at all replicas (limit %.0f), %.0f ms late",
			l.Decision.Candidates, l.Decision.Pending, l.Decision.Window, l.Decision.TotalPending, l.Decision.TotalWindow, l.Decision.Lag)
	}
	s += bodyEndText(l)
	if l.Lost {
		s += lostText(l)
	}
	if l.Error != "" {
		s += "; " + l.Error
	}
	return s
}

// buildText returns the software version of the replica, for use after its id.
func buildText(l Line) string {
	if l.Build == "" {
		return ""
	}
	return " (software " + l.Build + ")"
}

// lostText describes an attempt whose connection the replica ended early.
func lostText(l Line) string {
	s := "; the replica ended the connection before the first event"
	if l.Began > 0 {
		s = fmt.Sprintf("; the replica ended the connection %.0f ms after the first event", l.Began)
	}
	if len(l.Prompt) > 0 {
		s += ", prompt parts " + strings.Join(l.Prompt, " ")
	}
	if len(l.Prints) > 0 {
		s += fmt.Sprintf(", request %s with a body of %d bytes", strings.Join(l.Prints, " "), l.Size)
	}
	return s
}

// reasonText returns the text that medlarreason has for r, or r itself.
func reasonText(r medlarreason.Reason) string {
	if r == "" {
		return "the caller disconnected"
	}
	if row, ok := medlarreason.Lookup(r); ok {
		return row.Text
	}
	return string(r)
}

// partTexts describes the letters of medlarchoice.PartState.
var partTexts = map[rune]string{
	'c': "computed", 'w': "cached by the replica", 'f': "fetched from a store", 'l': "held by a store, but computed",
	's': "computed and saved", 'o': "unshared",
}

func partsText(letters string) string {
	var out []string
	for _, c := range letters {
		out = append(out, partTexts[c])
	}
	return strings.Join(out, ", ")
}

// describeStateChange describes a line that records a change of the instance's state.
func describeStateChange(l Line) string {
	switch l.Event {
	case "catalog":
		return fmt.Sprintf("configuration %v in force", l.Version)
	case "weights":
		return fmt.Sprintf("weight version %v desired", l.Version)
	case "lost":
		return fmt.Sprintf("%s is unavailable: %s", l.Dependency, l.Error)
	case "regained":
		return fmt.Sprintf("%s is available again after %.0f ms", l.Dependency, l.After)
	case "ejection":
		if l.Readmitted {
			return fmt.Sprintf("%s is readmitted", l.Replica)
		}
		return fmt.Sprintf("%s is ejected", l.Replica)
	case "avoid":
		if l.Leaving {
			return fmt.Sprintf("%s said that it leaves; it gets no new work", l.Replica)
		}
		return fmt.Sprintf("%s asked for no requests for %.0f ms", l.Replica, l.After)
	case "limit":
		if !l.Limited {
			return fmt.Sprintf("%s no longer names a limit of requests", l.Replica)
		}
		return fmt.Sprintf("%s named a limit of %g requests a second for all instances", l.Replica, l.Limit)
	case "replica":
		return fmt.Sprintf("%s: %s (leaving: %v, weights %v)", l.Replica, l.Message, l.Leaving, l.Version)
	case "block", "trial":
		return fmt.Sprintf("%s: %s (crashes: %d, trials: %d)", l.Part, l.Message, l.Crashes, l.Trials)
	case "crash":
		return fmt.Sprintf("%s crashed; requests that it had begun to answer had %s, the others %s", l.Replica, strings.Join(l.Begun, " "), strings.Join(l.Queued, " "))
	case "builds":
		return strings.TrimSpace(fmt.Sprintf("service %s, assignment %d: %s (%s to %s) %s", l.Service, l.Serial, l.Message, l.From, l.To, l.Error))
	case "stock":
		return strings.TrimSpace(fmt.Sprintf("store %s: %s %s", l.Store, l.Message, l.Error))
	}
	return strings.TrimSpace(l.Message + " " + l.Replica)
}
