package medlarclaim

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarseed"
	"medlarfield/internal/upstream/medlarlog"
)

// histories is the number of histories that are run from seeds.
const histories = 10000

func TestMain(m *testing.M) { os.Exit(medlarseed.Run(m, histories)) }

var testBounds = Bounds{Validity: time.Minute, Skew: 10 * time.Second}

var errLost = errors.New("response lost")

// model holds a log, the nodes that use it, and the attempts that upstreams saw.
type model struct {
	t         *rapid.T
	first     medlarid.Offset
	records   []medlarlog.Entry
	delayed   [][]byte // records of appends that may still take effect
	nodes     []*modelNode
	runs      map[Key]int
	calls     int
	nodeCount int
}

// modelNode is one instance. A crash replaces it by a new one.
type modelNode struct {
	claimer *Claimer
	calls   []*modelCall
}

// modelCall is one unrepeatable request that a caller sent to a node.
type modelCall struct {
	id      ID
	waiter  *waiter
	grant   Grant
	request Request
	state   callState
	ran     bool // the upstream received the request
	notRun  bool // the caller was told that the request did not run
}

type callState string

const (
	callWaiting callState = "waiting"
	callGranted callState = "granted"
	callSent    callState = "sent"
	callEnded   callState = "ended"
)

func (m *model) next() medlarid.Offset { return m.first + medlarid.Offset(len(m.records)) }

func (m *model) appendRecord(data []byte) {
	m.records = append(m.records, medlarlog.Entry{Offset: m.next(), UnixMillis: time.Now().UnixMilli(), Data: data})
}

// append implements the append function of a claimer, with a random fault for each
// call.
func (m *model) append(records ...[]byte) (medlarid.Offset, error) {
	first := m.next()
	switch fault := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "down", "late", "double"}).Draw(m.t, "append"); fault {
	case "down":
		return 0, &medlarlog.Error{Kind: medlarlog.KindUnavailable, Err: errLost}
	case "late":
		m.delayed = append(m.delayed, records...)
		return 0, &medlarlog.Error{Kind: medlarlog.KindUnknown, Err: errLost}
	default:
		for _, r := range records {
			m.appendRecord(r)
		}
		if fault == "double" {
			m.delayed = append(m.delayed, records...)
		}
		if fault == "lost" {
			return 0, &medlarlog.Error{Kind: medlarlog.KindUnknown, Err: errLost}
		}
		return first, nil
	}
}

func (m *model) newNode() *modelNode {
	m.nodeCount++
	n := &modelNode{}
	n.claimer = New(fmt.Sprintf("node-%d", m.nodeCount), testBounds, m.append, func() bool { return n.claimer.table.Next() >= m.next() })
	n.claimer.Reset(m.first)
	return n
}

// read applies up to count records to a node. It resets the node first if the
// records that it would read next have expired.
func (m *model) read(n *modelNode, count int) {
	if next := n.claimer.table.Next(); next < m.first {
		n.claimer.Reset(m.first)
	}
	for ; count > 0 && n.claimer.table.Next() < m.next(); count-- {
		n.claimer.Apply(m.records[n.claimer.table.Next()-m.first])
	}
	for _, c := range n.calls {
		m.poll(c)
	}
}

// poll records the result of a waiting call, if there is one.
func (m *model) poll(c *modelCall) {
	if c.state != callWaiting {
		return
	}
	select {
	case err := <-c.waiter.result:
		m.finish(c, err)
	default:
	}
}

func (m *model) finish(c *modelCall, err error) {
	if err == nil {
		c.state = callGranted
		c.grant = Grant{ID: c.id, Request: c.request}
		return
	}
	c.state = callEnded
	var e *Error
	errors.As(err, &e)
	c.notRun = e.Kind == KindUnavailable
}

// enqueue sends a request with one of a few keys to a node.
func (m *model) enqueue(n *modelNode) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "key")
	r, err := NewRequest("account", fmt.Sprintf("%d-%s", time.Now().Unix()/30*30, name), []byte(name))
	if err != nil {
		m.t.Fatal(err)
	}
	id, w, err := n.claimer.enqueue(r)
	if err != nil {
		return
	}
	m.calls++
	n.calls = append(n.calls, &modelCall{id: id, waiter: w, request: r, state: callWaiting})
}

// pick selects a random call of a node in the given state.
func (m *model) pick(n *modelNode, s callState) *modelCall {
	var in []*modelCall
	for _, c := range n.calls {
		if c.state == s {
			in = append(in, c)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[rapid.IntRange(0, len(in)-1).Draw(m.t, "call")]
}

// step performs one random step.
func (m *model) step() {
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{
		"enqueue", "enqueue", "flush", "flush", "read", "read", "read", "send", "send",
		"abandon", "void", "done", "unknown", "crash", "delayed", "expire", "drop valid", "time",
	}).Draw(m.t, "step") {
	case "enqueue":
		m.enqueue(n)
	case "flush":
		n.claimer.flush()
	case "read":
		m.read(n, rapid.IntRange(1, 5).Draw(m.t, "count"))
	case "send":
		m.send(m.pick(n, callGranted))
	case "abandon":
		m.abandon(n, m.pick(n, callWaiting))
	case "void":
		m.void(n, m.pick(n, callGranted))
	case "done":
		if c := m.pick(n, callSent); c != nil {
			n.claimer.RecordDone(c.grant, 200, "text/plain", []byte("ok"))
			c.state = callEnded
		}
	case "unknown":
		if c := m.pick(n, callSent); c != nil {
			n.claimer.RecordUnknown(c.grant)
			c.state = callEnded
		}
	case "crash":
		m.nodes[i] = m.newNode()
	case "delayed":
		m.appendDelayed()
	case "expire":
		m.expire()
	case "drop valid":
		m.dropValid()
	case "time":
		time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(m.t, "seconds")) * time.Second)
	}
}

func (m *model) send(c *modelCall) {
	if c == nil {
		return
	}
	c.state = callSent
	c.ran = true
	m.runs[c.request.Key]++
}

func (m *model) abandon(n *modelNode, c *modelCall) {
	if c == nil {
		return
	}
	_, err := n.claimer.abandon(c.id, c.waiter)
	m.finish(c, err)
}

func (m *model) void(n *modelNode, c *modelCall) {
	if c == nil {
		return
	}
	n.claimer.Void(c.grant)
	c.state = callEnded
	c.notRun = true
}

func (m *model) appendDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "delayed")
	m.appendRecord(m.delayed[i])
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// expire drops records that are older than any valid key, as the retention of the
// log does.
func (m *model) expire() {
	for len(m.records) > 0 && time.Since(m.records[0].Time()) > testBounds.Validity+2*testBounds.Skew {
		m.records = m.records[1:]
		m.first++
	}
}

// dropValid drops records that are still needed, as a retention time that is too
// short does. Nodes that start afterwards must not make claims, since they cannot
// know the claims of these records.
func (m *model) dropValid() {
	n := len(m.records) / 2
	m.records = m.records[n:]
	m.first += medlarid.Offset(n)
}

// checkRuns checks that no request ran more than once and that no request that
// ran was reported as not run.
func (m *model) checkRuns() {
	for key, n := range m.runs {
		if n > 1 {
			m.t.Fatalf("request %x ran %d times", key, n)
		}
	}
	for _, n := range m.nodes {
		for _, c := range n.calls {
			if c.ran && c.notRun {
				m.t.Fatalf("call %s ran but was reported as not run", c.id)
			}
		}
	}
}

// checkAgreement lets all nodes read to the end of the log and compares the tables
// that are complete, for the keys that can still be claimed. Entries of expired
// keys may differ: a node that missed the original of a duplicated claim records
// the offset of the duplicate until the key expires. No claim can depend on that.
func (m *model) checkAgreement() {
	var want map[Key]*Entry
	for _, n := range append(m.nodes, m.newNode()) {
		m.read(n, len(m.records)+1)
		if !n.claimer.table.Complete(time.Now()) {
			continue
		}
		got := claimable(n.claimer.table.entries)
		if want == nil {
			want = got
		}
		if d := cmp.Diff(want, got); d != "" {
			m.t.Fatalf("tables of two nodes that read the same records differ (-want +got):\n%s", d)
		}
	}
}

// claimable returns the entries whose keys are still valid.
func claimable(entries map[Key]*Entry) map[Key]*Entry {
	out := map[Key]*Entry{}
	for k, e := range entries {
		if testBounds.valid(e.Issued, time.Now()) {
			out[k] = e
		}
	}
	return out
}

func TestRandomHistories(t *testing.T) {
	calls, runs := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			m := &model{t: rt, first: 1, runs: map[Key]int{}}
			m.play()
			calls += m.calls
			runs += len(m.runs)
		})
	})
	if calls == 0 || runs == 0 {
		t.Fatalf("histories made %d calls and ran %d requests, want more than 0 of both", calls, runs)
	}
	t.Logf("%d calls, %d requests ran", calls, runs)
}

// play runs one random history.
func (m *model) play() {
	for range rapid.IntRange(2, 4).Draw(m.t, "nodes") {
		m.nodes = append(m.nodes, m.newNode())
	}
	for range rapid.IntRange(20, 80).Draw(m.t, "steps") {
		m.step()
		m.checkRuns()
	}
	m.checkAgreement()
}

// inBubble runs f in a synctest bubble, which has its own clock. It passes on a
// panic, which rapid uses to end a history early.
func inBubble(t *testing.T, f func()) {
	t.Helper()
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}
