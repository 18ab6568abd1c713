// Package medlarfault injects faults into the fakes at run time.
//
// Rules:
//
//	R1  A fault has a name from Table and is armed for one part, that is one of
//	    the fakes, for a number of uses or until it is cleared.
//	R2  Each part checks for its faults at the point where they take effect, so
//	    that a fault takes effect at most once per use.
package medlarfault

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Name is the name of a fault.
type Name string

// Faults that can be injected (R1).
const (
	Down      Name = "down"      // responds to every call with 503
	Lost      Name = "lost"      // acts, then closes the connection without a response
	Late      Name = "late"      // closes the connection without a response and acts after Delay
	Slow      Name = "slow"      // waits Delay before it acts
	Cut       Name = "cut"       // truncates a complete response in the middle
	Break     Name = "break"     // breaks off a stream
	Double    Name = "double"    // acts twice
	Repeat    Name = "repeat"    // sends each part of a stream twice
	Shuffle   Name = "shuffle"   // reorders the parts of a stream
	Skip      Name = "skip"      // omits a part of a stream
	Refuse    Name = "refuse"    // responds with 409 and does not act
	Full      Name = "full"      // responds that no space is left
	Corrupt   Name = "corrupt"   // corrupts the data it returns
	Stale     Name = "stale"     // responds with an outdated state
	Gap       Name = "gap"       // omits cache events
	Version   Name = "version"   // refuses a run as if another weight version were loaded
	Misload   Name = "misload"   // loads another weight version than ordered
	Freeze    Name = "freeze"    // accepts calls and does not respond until cleared
	Malformed Name = "malformed" // responds with bytes that are not JSON
)

// Doc is the description of a fault.
type Doc struct {
	Name Name
	Text string
}

// Table lists all faults with their descriptions.
var Table = []Doc{
	{Down, "responds to every call with 503 and does not act"},
	{Lost, "acts, then closes the connection without a response"},
	{Late, "closes the connection without a response and acts after the delay"},
	{Slow, "waits for the delay before it acts"},
	{Cut, "truncates a complete response in the middle"},
	{Break, "breaks off a stream"},
	{Double, "acts twice"},
	{Repeat, "sends each part of a stream twice"},
	{Shuffle, "reorders the parts of a stream"},
	{Skip, "omits a part of a stream"},
	{Refuse, "responds with 409 and does not act"},
	{Full, "responds that no space is left"},
	{Corrupt, "corrupts the data it returns"},
	{Stale, "responds with an outdated state"},
	{Gap, "omits cache events"},
	{Version, "refuses a run as if another weight version were loaded"},
	{Misload, "loads another weight version than ordered"},
	{Freeze, "accepts calls and does not respond until cleared"},
	{Malformed, "responds with bytes that are not JSON"},
}

// Fault is an armed fault.
type Fault struct {
	Part      string        `json:"part"`  // part that it affects, such as "log" or "engine-1"
	Name      Name          `json:"name"`  // a name in Table
	Count     int           `json:"count"` // number of uses; 0 means until cleared
	Delay     time.Duration `json:"-"`
	DelayText string        `json:"delay,omitempty"` // Delay as text, such as "50ms"
	Clear     bool          `json:"clear,omitempty"` // clear the fault instead of arming it
}

type key struct {
	part string
	name Name
}

// Injector holds the armed faults. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	armed   map[key]*Fault
	pending int // delayed effects that have not ended
}

// New returns an Injector without armed faults.
func New() *Injector { return &Injector{armed: map[key]*Fault{}} }

// Arm arms or clears a fault (R1). It returns an error if the fault is unknown.
func (inj *Injector) Arm(f Fault) error {
	if !isKnown(f.Name) {
		return eris.Errorf("unknown fault %q; known faults: %s", f.Name, knownNames())
	}
	if f.DelayText != "" {
		d, err := time.ParseDuration(f.DelayText)
		if err != nil {
			return eris.Wrap(err, "parse the delay of the fault")
		}
		f.Delay = d
	}
	inj.mu.Lock()
	defer inj.mu.Unlock()
	k := key{f.Part, f.Name}
	if f.Clear {
		delete(inj.armed, k)
		return nil
	}
	inj.armed[k] = &f
	return nil
}

// Trigger reports whether a fault is armed, and consumes one use of it if so (R2).
func (inj *Injector) Trigger(part string, name Name) (Fault, bool) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	k := key{part, name}
	f, ok := inj.armed[k]
	if !ok {
		return Fault{}, false
	}
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(inj.armed, k)
		}
	}
	return *f, true
}

// Triggered is Trigger without the details of the fault.
func (inj *Injector) Triggered(part string, name Name) bool {
	_, ok := inj.Trigger(part, name)
	return ok
}

// RunLater calls f after a delay.
func (inj *Injector) RunLater(delay time.Duration, f func()) {
	inj.addPending(1)
	time.AfterFunc(delay, func() {
		defer inj.addPending(-1)
		f()
	})
}

func (inj *Injector) addPending(n int) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.pending += n
}

// Pending returns the number of delayed effects that have not ended.
func (inj *Injector) Pending() int {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.pending
}

// Armed returns the armed faults, ordered by part and name.
func (inj *Injector) Armed() []Fault {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	out := make([]Fault, 0, len(inj.armed))
	for _, f := range inj.armed {
		out = append(out, *f)
	}
	sort.Slice(out, func(i, j int) bool {
		return fmt.Sprint(out[i].Part, out[i].Name) < fmt.Sprint(out[j].Part, out[j].Name)
	})
	return out
}

func isKnown(n Name) bool {
	for _, d := range Table {
		if d.Name == n {
			return true
		}
	}
	return false
}

func knownNames() string {
	var s []string
	for _, d := range Table {
		s = append(s, string(d.Name))
	}
	return strings.Join(s, ", ")
}
