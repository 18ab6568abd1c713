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

// tally counts the requests that ended within a second at one instance.
type tally struct {
	second   time.Time
	instance string
	whole    int // answers with a status below 500
	refused  map[string]int
	failed   int // answers of 500 and more that are no refusals, or broken off
	left     int // callers that left
}

// Timeline writes what the lines tell of an instance, a replica or a store: each change
// of a belief, each failed attempt, and the counts of requests by second.
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
			tellTallies(w, tallies)
			second = s
		}
		switch l.Event {
		case "request":
			count(tallies, l)
		case "attempt":
			tell(w, l, fmt.Sprintf("request %s: %s", l.ID, attempt(l)))
		default:
			tell(w, l, belief(l))
		}
	}
	tellTallies(w, tallies)
	if !found {
		return &Error{Op: OpRead, Kind: KindNotFound, Err: eris.Errorf("no line names %q", name)}
	}
	return nil
}

// count adds the end of a request to its instance's tally.
func count(tallies map[string]*tally, l Line) {
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
		t.whole++
	}
}

// tellTallies writes and forgets the tallies of a second, by the instances' names.
func tellTallies(w io.Writer, tallies map[string]*tally) {
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[name]
		tell(w, Line{Time: t.second, Instance: name}, t.text())
	}
	clear(tallies)
}

func (t *tally) text() string {
	out := []string{fmt.Sprintf("in this second %d answered", t.whole)}
	if t.failed > 0 {
		out = append(out, fmt.Sprintf("%d failed or broken off", t.failed))
	}
	if t.left > 0 {
		out = append(out, fmt.Sprintf("%d ended without an answer", t.left))
	}
	for _, reason := range slices.Sorted(maps.Keys(t.refused)) {
		out = append(out, fmt.Sprintf("%d refused as %q", t.refused[reason], reason))
	}
	return strings.Join(out, ", ")
}
