// Package medlarschedule draws the schedule of a soak from a seed: which faults begin when, and what carries them out.
package medlarschedule

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"medlarfield/internal/stand/medlarending"
	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarflood"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarstutter"
)

// Verb is what a step does.
type Verb string

// Verbs. The arguments of VerbKill to VerbNew are numbers of instances, from 1 on.
const (
	VerbPost  Verb = "post"  // sends a command to the control address of the platform
	VerbKill  Verb = "kill"  // SIGKILL
	VerbTerm  Verb = "term"  // SIGTERM
	VerbStop  Verb = "stop"  // SIGSTOP
	VerbCont  Verb = "cont"  // SIGCONT
	VerbStart Verb = "start" // starts the instances that do not run
	VerbNew   Verb = "new"   // as VerbStart; from now on the instances are of the new build
	VerbFault Verb = "fault" // names the fault that begins
	VerbPress Verb = "press" // callers send several times as much from now on
	VerbEase  Verb = "ease"  // callers send as usual
	VerbCalm  Verb = "calm"  // all faults have ended
)

// Step is one line of a schedule.
type Step struct {
	At   time.Duration // since the begin of the schedule
	Verb Verb
	Args []string
}

// Settings say what a schedule is drawn for.
type Settings struct {
	Seed    uint64
	Nodes   int
	Upgrade bool   // the instances begin with an old build and are upgraded
	Only    string // name of the one kind of fault to play; empty for all
}

// Times of a schedule.
const (
	firstFault = 2 * time.Second
	lastFault  = 9 * time.Second // begin of the last fault of an overlapping schedule
	maxGap     = 500 * time.Millisecond
	aloneEvery = 3 * time.Second
)

// Numbers of faults in a schedule.
const (
	aloneFaults   = 3
	seriesFaults  = 5
	overlapFaults = 7
)

// Kind is a kind of fault.
type Kind struct {
	Name  string
	steps func(*draw) []Step
}

// Kinds lists all kinds of faults.
var Kinds = []Kind{
	{"rejection-again", func(d *draw) []Step { return d.rejectionAgain("", 1) }},
	{"rejection-again-without-id", func(d *draw) []Step { return d.rejectionAgain(requestID, 1) }},
	{"rejection-of-all-again", func(d *draw) []Step { return d.rejectionAgain([]string{"", requestID}[d.IntN(2)], 6) }},
	{"answer-again", func(d *draw) []Step { return []Step{d.copies(200, ""), post(time.Second, "disarm")} }},
	{"broken-stream", func(d *draw) []Step { return repeat("broken?with=%d&n=2", d.IntN(len(medlarending.Instead))) }},
	{"broken-answer", (*draw).brokenAnswer},
	{"odd-entry", (*draw).oddEntry},
	{"cut-one", func(d *draw) []Step { return d.cut(1) }},
	{"cut-two", func(d *draw) []Step { return d.cut(2) }},
	{"kill-all", (*draw).killAll},
	{"kill-one", func(d *draw) []Step { return d.restart(VerbKill, d.pick(1)) }},
	{"term-one", func(d *draw) []Step { return d.restart(VerbTerm, d.pick(1)) }},
	{"pause-one", (*draw).pause},
	{"crash-replicas", func(*draw) []Step { return []Step{post(0, "crash")} }},
	{"store-slow", (*draw).storeSlow},
	{"store-away", (*draw).storeAway},
	{"store-copy", func(d *draw) []Step { return []Step{post(0, "rewind?n=%d", 1+d.IntN(40))} }},
	{kindUpgrade, (*draw).upgrade},
	{"release", (*draw).release},
	{"weights", (*draw).weights},
	// This one and those behind it are played by name only, so that seeds keep their schedules.
	{kindReleaseOutOfStep, (*draw).releaseOutOfStep},
	{kindBegunAgain, func(*draw) []Step { return begunAgain() }},
	{kindTwice, (*draw).twice},
	{"pauses", (*draw).pauses},
	{"pauses-beside-cuts", func(d *draw) []Step { return append(d.cut(d.nodes-1), d.pauses()...) }},
	{"deadly-request", func(d *draw) []Step { return d.deadly("request") }},
	{"deadly-part", func(d *draw) []Step { return d.deadly("part") }},
	{"deadly-part-unframed", func(d *draw) []Step { return d.deadly("part&at=unframed") }},
	{"slow-replicas", (*draw).slowReplicas},
	{"stalled-replicas", (*draw).stalledReplicas},
	{"half-broken", (*draw).halfBroken},
	{"half-broken-restarts", (*draw).halfBrokenRestarts},
	{"refused-restarts", (*draw).refusedRestarts},
	{"pressing-callers", (*draw).pressingCallers},
}

const (
	kindUpgrade          = "upgrade"
	kindReleaseOutOfStep = "release-out-of-step"
	kindBegunAgain       = "answer-begun-again"
	kindTwice            = "answer-twice"
)

// requestID is the header field that names the request of a response.
const requestID = "Medlarfield-Request-Id"

// nested is the depth of an odd entry.
const nested = 5000

// OddEntries are values that are no entries of replicas.
var OddEntries = []string{
	strings.Repeat("[", nested) + strings.Repeat("]", nested),
	`{"Service":"ledger","Address":"127.0.0.1:1","MaxBatchSize":1e400,"Phase":"ready","born":1}`,
	`{"Service":"ledger","Address":"127.0.0.1:99999","MaxBatchSize":4,"Phase":"ready","born":1}`,
	`{"Service":"ledger","Address":"127.0.0.1:-1","MaxBatchSize":4,"Phase":"ready","born":1}`,
	`{"Service":["ledger"],"Address":7,"MaxBatchSize":"4","Phase":{},"Models":"none","born":"1"}`,
	"\xff\x00\xfe",
	"null",
}

// usualStore is the speed of the store while it has no fault.
const usualStore = "store-speed?delay=4&reads=6000&writes=1200"

// draw draws the faults of a schedule.
type draw struct {
	*rand.Rand
	nodes    int
	weight   int // last weight version that was named
	releases int // releases so far
}

// New returns the schedule of a seed: one kind of fault again and again, several one after the other, or several that
// overlap. The same settings give the same schedule, whose last step is VerbCalm.
func New(s Settings) ([]Step, error) {
	if s.Nodes < 1 || s.Only != "" && indexOf(s.Only) < 0 {
		return nil, fmt.Errorf("no schedule for %d instances and kind %q", s.Nodes, s.Only)
	}
	d := &draw{Rand: rand.New(rand.NewPCG(s.Seed, 1)), nodes: s.Nodes, weight: 1}
	steps := []Step{post(0, usualStore), post(0, "attempts?n=%d", 1+2*d.IntN(2))}
	var end time.Duration
	add := func(k Kind, at time.Duration) {
		steps = append(steps, Step{at, VerbFault, []string{k.Name}})
		for _, step := range k.steps(d) {
			step.At += at
			end = max(end, step.At)
			steps = append(steps, step)
		}
	}
	alone := d.named(s.Only)
	if s.Upgrade {
		add(d.named(kindUpgrade), firstFault+d.within(maxGap))
	}
	switch {
	case s.Only != "" || s.Seed%3 == 1:
		for i := range aloneFaults {
			add(alone, firstFault+time.Duration(i)*aloneEvery+d.within(maxGap))
		}
	case s.Seed%3 == 2:
		for range seriesFaults {
			add(d.any(), max(end, firstFault)+d.within(maxGap))
		}
	default:
		for range overlapFaults {
			add(d.any(), firstFault+d.within(lastFault-firstFault))
		}
	}
	steps = append(steps, d.calm(end)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps, nil
}

// Print writes a schedule, one step a line: the time in ms, the verb, and its arguments.
func Print(w io.Writer, steps []Step) {
	for _, s := range steps {
		_, _ = fmt.Fprintf(w, "%d %s %s\n", s.At.Milliseconds(), s.Verb, strings.Join(s.Args, " "))
	}
}

// named returns the kind with a name, or any if the name is empty.
func (d *draw) named(name string) Kind {
	if i := indexOf(name); i >= 0 {
		return Kinds[i]
	}
	return d.any()
}

// any returns any kind but those that are played by name only.
func (d *draw) any() Kind { return Kinds[d.IntN(indexOf(kindReleaseOutOfStep))] }

// indexOf returns the index of the kind with a name; negative if there is none.
func indexOf(name string) int {
	return slices.IndexFunc(Kinds, func(k Kind) bool { return k.Name == name })
}

func (d *draw) within(most time.Duration) time.Duration { return time.Duration(d.Int64N(int64(most))) }

// pick returns the numbers of n instances, at most of all.
func (d *draw) pick(n int) []string {
	var out []string
	for _, i := range d.Perm(d.nodes)[:min(n, d.nodes)] {
		out = append(out, fmt.Sprint(i+1))
	}
	return out
}

func (d *draw) all() []string {
	var out []string
	for i := range d.nodes {
		out = append(out, fmt.Sprint(i+1))
	}
	return out
}

func post(at time.Duration, format string, args ...any) Step {
	return Step{at, VerbPost, []string{fmt.Sprintf(format, args...)}}
}

// Times of faults of replicas.
const (
	armInterval = 150 * time.Millisecond
	armTimes    = 8

	twiceInterval = 100 * time.Millisecond
	copiesArmed   = 100
)

// repeat arms a fault in the replicas again and again.
func repeat(format string, args ...any) []Step {
	var out []Step
	for i := range armTimes {
		out = append(out, post(time.Duration(i)*armInterval, format, args...))
	}
	return append(out, post(armTimes*armInterval, "disarm"))
}

var forms = []medlarstutter.Form{medlarstutter.FormWhole, medlarstutter.FormParts, medlarstutter.FormChunked, medlarstutter.FormClosed}

// copies makes replicas write responses with a status once more.
func (d *draw) copies(status int, without string) Step {
	return post(0, "copies?status=%d&without=%s&form=%s&n=%d", status, without, forms[d.IntN(len(forms))], copiesArmed)
}

// rejectionAgain lets replicas reject n requests in each armInterval and write these rejections once more. If n is
// high, later attempts come to a replica that has rejected the same request.
func (d *draw) rejectionAgain(without string, n int) []Step {
	return append(repeat("arm?fault=%s&n=%d", medlarfakereplica.FaultShed, n), d.copies(503, without))
}

func (d *draw) brokenAnswer() []Step {
	faults := []medlarfakereplica.Fault{
		medlarfakereplica.FaultLost, medlarfakereplica.FaultCut, medlarfakereplica.FaultFail, medlarfakereplica.FaultExtra,
		medlarfakereplica.FaultForeign, medlarfakereplica.FaultGarbage, medlarfakereplica.FaultShort, medlarfakereplica.FaultWrongID,
		medlarfakereplica.FaultHang, medlarfakereplica.FaultPause, medlarfakereplica.FaultMisdirected,
		medlarflood.Line, medlarflood.Head, medlarflood.Heads,
	}
	return repeat("arm?fault=%s&n=1", faults[d.IntN(len(faults))])
}

// oddEntry writes odd entries beside those of the replicas and in their place.
func (d *draw) oddEntry() []Step {
	i := d.IntN(len(OddEntries))
	return []Step{post(0, "odd?entry=%d", i), post(400*time.Millisecond, "odd?entry=%d", i), post(time.Second, "odd?entry=-1")}
}

func (d *draw) cut(n int) []Step {
	state := []medlarlink.State{medlarlink.Silent, medlarlink.Reset, medlarlink.Refused}[d.IntN(3)]
	length := time.Second + d.within(2*time.Second)
	var out []Step
	for _, i := range d.pick(n) {
		out = append(out, post(0, "link?name=entry-%s&state=%s", i, state), post(length, "link?name=entry-%s&state=%s", i, medlarlink.Up))
	}
	return out
}

func (d *draw) killAll() []Step {
	back := 200*time.Millisecond + d.within(time.Second)
	out := []Step{{0, VerbKill, d.all()}, {back, VerbStart, d.all()}}
	if d.IntN(2) == 0 {
		out = append(out, post(0, "crash"))
	}
	if d.IntN(3) == 0 { // again while they start
		again := back + d.within(maxGap)
		out = append(out, Step{again, VerbKill, d.all()}, Step{again + maxGap, VerbStart, d.all()})
	}
	return out
}

// restart ends instances with a signal and starts them again.
func (d *draw) restart(signal Verb, nodes []string) []Step {
	return []Step{{0, signal, nodes}, {time.Second + d.within(time.Second), VerbStart, nodes}}
}

func (d *draw) pause() []Step {
	nodes := d.pick(1)
	return []Step{{0, VerbStop, nodes}, {700*time.Millisecond + d.within(600*time.Millisecond), VerbCont, nodes}}
}

func (d *draw) storeSlow() []Step {
	return []Step{
		post(0, "store-speed?delay=%d&reads=%d&writes=%d", 50+d.IntN(400), 50+d.IntN(200), 10+d.IntN(40)),
		post(time.Second+d.within(2*time.Second), usualStore),
	}
}

func (d *draw) storeAway() []Step {
	faults := []medlarfaketopic.Fault{
		medlarfaketopic.FaultRefuse, medlarfaketopic.FaultLimit, medlarfaketopic.FaultSilent, medlarfaketopic.FaultReset, medlarfaketopic.FaultLose,
	}
	out := []Step{post(0, "store?fault=%s", faults[d.IntN(len(faults))]), post(time.Second+d.within(2*time.Second), "store?fault=")}
	if d.IntN(3) == 0 {
		out = append(out, post(100*time.Millisecond, "compact"))
	}
	return out
}

// upgrade replaces the instances by ones of the new build, one after the other.
func (d *draw) upgrade() []Step {
	var out []Step
	signal := []Verb{VerbTerm, VerbKill}[d.IntN(2)]
	pause := 500*time.Millisecond + d.within(time.Second)
	for i, n := range d.all() {
		at := time.Duration(i) * (pause + time.Second)
		out = append(out, Step{at, signal, []string{n}}, Step{at + time.Second, VerbNew, []string{n}})
	}
	return out
}

// release replaces two replicas of the engine by ones of another software version.
func (d *draw) release() []Step {
	d.releases++
	return []Step{post(0, "release?build=r%d&n=2&ms=%d", d.releases, 200+d.IntN(600))}
}

// releaseOutOfStep lets replicas of another software version join while an instance stands still; before and after it
// goes on, streams break off.
func (d *draw) releaseOutOfStep() []Step {
	const begins, breaks, after = 300 * time.Millisecond, 200 * time.Millisecond, time.Second
	one := d.pick(1)
	ends := begins + time.Second + d.within(1200*time.Millisecond)
	d.releases++
	out := []Step{post(0, "release?build=r%d&n=3&ms=300", d.releases), {begins, VerbStop, one}, {ends, VerbCont, one}}
	for at := 2 * begins; at < ends+after; at += breaks {
		out = append(out, post(at, "arm?fault=%s&n=2", medlarfakereplica.FaultCut))
	}
	return append(out, post(ends+after, "disarm"))
}

// begunAgain makes plain replicas write a response, or begin it, once more on its connection, in all ways in turn.
func begunAgain() []Step {
	var out []Step
	for i := range medlarending.Again {
		out = append(out, post(time.Duration(i)*armInterval, "again?with=%d&n=2", i))
	}
	return append(out, post(time.Duration(len(medlarending.Again))*armInterval, "disarm"))
}

// twice makes all replicas write whole responses, such that end with their connections and others, once more on them, in
// all ways in an order that is drawn.
func (d *draw) twice() []Step {
	var out []Step
	for i, with := range d.Perm(len(medlarending.Twice())) {
		out = append(out, post(time.Duration(i)*twiceInterval, "twice?with=%d&n=2", with))
	}
	return append(out, post(time.Duration(len(out))*twiceInterval, "disarm"))
}

// pauses lets each replica reject a request with a pause, again and again.
func (d *draw) pauses() []Step {
	const first, interval = 500 * time.Millisecond, 700 * time.Millisecond
	var out []Step
	for i := range 3 {
		out = append(out, post(first+time.Duration(i)*interval, "arm?fault=%s&n=1", medlarfakereplica.FaultPause))
	}
	return out
}

// deadly lets replicas crash under requests of a kind until all faults end; instances are disturbed beside it.
func (d *draw) deadly(kind string) []Step {
	out := []Step{post(0, "deadly?kind=%s", kind)}
	beside := [][]Step{d.restart(VerbKill, d.pick(1)), d.cut(2), d.pause(), d.cut(d.nodes - 1), nil}[d.IntN(5)]
	delay := d.within(2 * time.Second)
	for _, s := range beside {
		s.At += delay
		out = append(out, s)
	}
	return out
}

func (d *draw) weights() []Step {
	d.weight++
	return []Step{post(0, "weights?version=%d", d.weight), post(time.Second, "change")}
}

// calm ends all faults.
func (d *draw) calm(at time.Duration) []Step {
	out := []Step{post(at, "disarm"), post(at, "store?fault="), post(at, usualStore), post(at, "odd?entry=-1"), post(at, "deadly")}
	for _, i := range d.all() {
		out = append(out, post(at, "link?name=entry-%s&state=%s", i, medlarlink.Up))
	}
	return append(out, Step{at, VerbCont, d.all()}, Step{at, VerbStart, d.all()}, Step{at, VerbCalm, nil})
}
