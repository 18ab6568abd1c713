// Package medlarfault switches the faults of the stand-ins on and off at run
// time.
//
// Rules:
//
//	R1  A fault is a name from the table below, armed for one part of the
//	    stand-ins, for a number of uses or until it is cleared.
//	R2  Each part asks for its faults at the point where they strike, so that a
//	    fault strikes at most once for each use.
package medlarfault

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Name names a fault.
type Name string

// Faults that the stand-ins know (R1).
const (
	Down      Name = "down"      // refuses every call with 503
	Lost      Name = "lost"      // acts, then closes the connection without an answer
	Late      Name = "late"      // acts after the answer was given up
	Slow      Name = "slow"      // waits Delay before it acts
	Cut       Name = "cut"       // breaks a whole answer off in the middle
	Break     Name = "break"     // breaks a stream off
	Double    Name = "double"    // acts twice
	Repeat    Name = "repeat"    // sends each part of a stream twice
	Shuffle   Name = "shuffle"   // sends parts of a stream in another order
	Skip      Name = "skip"      // leaves out a part of a stream
	Refuse    Name = "refuse"    // refuses with 409, and did not act
	Full      Name = "full"      // has no space
	Corrupt   Name = "corrupt"   // changes bytes of what it returns
	Stale     Name = "stale"     // answers with an old state
	Gap       Name = "gap"       // leaves out cache events
	Version   Name = "version"   // refuses a run as under another weight version
	Misload   Name = "misload"   // loads another weight version than it was told
	Freeze    Name = "freeze"    // accepts calls and answers none
	Malformed Name = "malformed" // answers with bytes that are no JSON
)

// Doc describes one fault.
type Doc struct {
	Name Name
	Text string
}

// Table lists all faults with their descriptions.
var Table = []Doc{
	{Down, "refuses every call with 503; nothing is done"},
	{Lost, "acts, then closes the connection without an answer"},
	{Late, "closes the connection without an answer and acts after the delay"},
	{Slow, "waits for the delay before it acts"},
	{Cut, "breaks a whole answer off in the middle"},
	{Break, "breaks a stream off"},
	{Double, "acts twice"},
	{Repeat, "sends each part of a stream twice"},
	{Shuffle, "sends parts of a stream in another order"},
	{Skip, "leaves out a part of a stream"},
	{Refuse, "refuses with 409 and does not act"},
	{Full, "has no space left"},
	{Corrupt, "changes bytes of what it returns"},
	{Stale, "answers with an old state"},
	{Gap, "leaves out cache events"},
	{Version, "refuses a run as if another weight version were loaded"},
	{Misload, "loads another weight version than it was told"},
	{Freeze, "accepts calls and answers none until cleared"},
	{Malformed, "answers with bytes that are no JSON"},
}

// Fault is one armed fault.
type Fault struct {
	Part      string        `json:"part"`  // part that it strikes, such as "log" or "engine-1"
	Name      Name          `json:"name"`  // fault, of Table
	Count     int           `json:"count"` // number of uses; 0 is until cleared
	Delay     time.Duration `json:"-"`
	DelayText string        `json:"delay,omitempty"` // Delay as text, such as "50ms"
	Clear     bool          `json:"clear,omitempty"` // clears the fault instead
}

type key struct {
	part string
	name Name
}

// Injector holds the armed faults. It is safe for concurrent use.
type Injector struct {
	mu    sync.Mutex
	armed map[key]*Fault
}

// New returns a board without faults.
func New() *Injector { return &Injector{armed: map[key]*Fault{}} }

// Arm sets or clears a fault (R1). An unknown fault is an error.
func (b *Injector) Arm(f Fault) error {
	if !known(f.Name) {
		return eris.Errorf("unknown fault %q; known are %s", f.Name, names())
	}
	if f.DelayText != "" {
		d, err := time.ParseDuration(f.DelayText)
		if err != nil {
			return eris.Wrap(err, "delay")
		}
		f.Delay = d
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key{f.Part, f.Name}
	if f.Clear {
		delete(b.armed, k)
		return nil
	}
	b.armed[k] = &f
	return nil
}

// Trigger reports whether a fault strikes now, and uses it once if it does (R2).
func (b *Injector) Trigger(part string, name Name) (Fault, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key{part, name}
	f, ok := b.armed[k]
	if !ok {
		return Fault{}, false
	}
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(b.armed, k)
		}
	}
	return *f, true
}

// Triggered is Strike without the fault's details.
func (b *Injector) Triggered(part string, name Name) bool {
	_, ok := b.Trigger(part, name)
	return ok
}

// Armed lists the armed faults, ordered by part and name.
func (b *Injector) Armed() []Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Fault, 0, len(b.armed))
	for _, f := range b.armed {
		out = append(out, *f)
	}
	sort.Slice(out, func(i, j int) bool {
		return fmt.Sprint(out[i].Part, out[i].Name) < fmt.Sprint(out[j].Part, out[j].Name)
	})
	return out
}

func known(n Name) bool {
	for _, d := range Table {
		if d.Name == n {
			return true
		}
	}
	return false
}

func names() string {
	var s []string
	for _, d := range Table {
		s = append(s, string(d.Name))
	}
	return strings.Join(s, ", ")
}
