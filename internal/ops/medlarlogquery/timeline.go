package medlarlogquery

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// tally counts the requests that ended at one instance within one second.
type tally struct {
	second   time.Time
	instance string
	answered int // complete responses with a status below 500
	refused  map[string]int
	failed   int // incomplete responses, and those of status 500 and above that are not refusals
	left     int // callers that disconnected
}

// Timeline writes the history of an instance, a replica or a store: each change of its
// known state, each failed attempt, and the number of requests in each second.
func Timeline(w io.Writer, lines []Line, name string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) }) // R3
	tallies := map[string]*tally{}
	var second time.Time
	found := false
	for _, l := range lines {
		if name != l.Instance && name != l.Replica && name != l.Store {
			continue
		}
		found = true
		if s := l.Time.Truncate(time.Second); !s.Equal(second) {
			writeTallies(w, tallies)
			second = s
		}
		switch l.Event {
		case "request":
			countRequest(tallies, l)
		case "attempt":
			writeLine(w, l, fmt.Sprintf("request %s: %s", l.ID, describeAttempt(l)))
		default:
			writeLine(w, l, describeStateChange(l))
		}
	}
	writeTallies(w, tallies)
	if !found {
		return &Error{Op: OpRead, Kind: KindNotFound, Err: eris.Errorf("no line names %q", name)}
	}
	return nil
}

// countRequest adds a finished request to the tally of its instance.
func countRequest(tallies map[string]*tally, l Line) {
	t := tallies[l.Instance]
	if t == nil {
		t = &tally{second: l.Time.Truncate(time.Second), instance: l.Instance, refused: map[string]int{}}
		tallies[l.Instance] = t
	}
	switch {
	case l.Reason != "":
		t.refused[string(l.Reason)]++
	case l.Status == 0:
		t.left++
	case !l.Complete || l.Status >= 500:
		t.failed++
	default:
		t.answered++
	}
}

// writeTallies writes the tallies of a second, sorted by instance, and clears them.
func writeTallies(w io.Writer, tallies map[string]*tally) {
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[name]
		writeLine(w, Line{Time: t.second, Instance: name}, t.text())
	}
	clear(tallies)
}

func (t *tally) text() string {
	out := []string{fmt.Sprintf("in this second %d answered", t.answered)}
	if t.failed > 0 {
		out = append(out, fmt.Sprintf("%d failed or incomplete", t.failed))
	}
	if t.left > 0 {
		out = append(out, fmt.Sprintf("%d ended without a response", t.left))
	}
	for _, reason := range slices.Sorted(maps.Keys(t.refused)) {
		out = append(out, fmt.Sprintf("%d refused as %q", t.refused[reason], reason))
	}
	return strings.Join(out, ", ")
}
