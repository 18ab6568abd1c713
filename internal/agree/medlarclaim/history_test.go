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

// histories is the number of seeded histories.
const histories = 10000

func TestMain(m *testing.M) { os.Exit(medlarseed.Run(m, histories)) }

var testBounds = Bounds{Validity: time.Minute, Skew: 10 * time.Second}

var errLost = errors.New("answer lost")

// model is a log, the nodes that use it, and what upstreams saw.
type model struct {
	t       *rapid.T
	first   medlarid.Offset
	records []medlarlog.Entry
	limbo   [][]byte // appends that may still take effect
	nodes   []*modelNode
	runs    map[Key]int
	calls   int
	names   int
}

// modelNode is one instance; a crash replaces it.
type modelNode struct {
	desk  *Claimer
	calls []*modelCall
}

// modelCall is one unrepeatable request of a caller at a node.
type modelCall struct {
	id      ID
	waiter  *waiter
	grant   Grant
	request Request
	state   callState
	ran     bool // the upstream saw it
	notRun  bool // the caller was told that it did not run
}

type callState string

const (
	callWaiting callState = "waiting"
	callGranted callState = "granted"
	callSent    callState = "sent"
	callEnded   callState = "ended"
)

func (m *model) next() medlarid.Offset { return m.first + medlarid.Offset(len(m.records)) }

func (m *model) land(data []byte) {
	m.records = append(m.records, medlarlog.Entry{Offset: m.next(), Millis: time.Now().UnixMilli(), Data: data})
}

// append is the log as a desk sees it, with a fault drawn for each call.
func (m *model) append(records ...[]byte) (medlarid.Offset, error) {
	first := m.next()
	switch fault := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "down", "late", "double"}).Draw(m.t, "append"); fault {
	case "down":
		return 0, &medlarlog.Error{Kind: medlarlog.KindUnavailable, Err: errLost}
	case "late":
		m.limbo = append(m.limbo, records...)
		return 0, &medlarlog.Error{Kind: medlarlog.KindUnknown, Err: errLost}
	default:
		for _, r := range records {
			m.land(r)
		}
		if fault == "double" {
			m.limbo = append(m.limbo, records...)
		}
		if fault == "lost" {
			return 0, &medlarlog.Error{Kind: medlarlog.KindUnknown, Err: errLost}
		}
		return first, nil
	}
}

func (m *model) newNode() *modelNode {
	m.names++
	n := &modelNode{}
	n.desk = New(fmt.Sprintf("node-%d", m.names), testBounds, m.append, func() bool { return n.desk.table.Next() >= m.next() })
	n.desk.Reset(m.first)
	return n
}

// read applies up to count records to a node, after a gap if records expired.
func (m *model) read(n *modelNode, count int) {
	if next := n.desk.table.Next(); next < m.first {
		n.desk.Reset(m.first)
	}
	for ; count > 0 && n.desk.table.Next() < m.next(); count-- {
		n.desk.Apply(m.records[n.desk.table.Next()-m.first])
	}
	for _, c := range n.calls {
		m.poll(c)
	}
}

// poll takes the fate of a waiting call.
func (m *model) poll(c *modelCall) {
	if c.state != callWaiting {
		return
	}
	select {
	case err := <-c.waiter.fate:
		m.fate(c, err)
	default:
	}
}

func (m *model) fate(c *modelCall, err error) {
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

// begin lets a caller send one of few requests to a node.
func (m *model) begin(n *modelNode) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "key")
	r, err := NewRequest("account", fmt.Sprintf("%d-%s", time.Now().Unix()/30*30, name), []byte(name))
	if err != nil {
		m.t.Fatal(err)
	}
	id, w, err := n.desk.begin(r)
	if err != nil {
		return
	}
	m.calls++
	n.calls = append(n.calls, &modelCall{id: id, waiter: w, request: r, state: callWaiting})
}

// pick draws a call of a node in a state.
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

// step makes one drawn step.
func (m *model) step() {
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{
		"begin", "begin", "flush", "flush", "read", "read", "read", "send", "send",
		"give up", "void", "done", "unknown", "crash", "limbo", "expire", "lose", "time",
	}).Draw(m.t, "step") {
	case "begin":
		m.begin(n)
	case "flush":
		n.desk.flush()
	case "read":
		m.read(n, rapid.IntRange(1, 5).Draw(m.t, "count"))
	case "send":
		m.send(m.pick(n, callGranted))
	case "give up":
		m.giveUp(n, m.pick(n, callWaiting))
	case "void":
		m.void(n, m.pick(n, callGranted))
	case "done":
		if c := m.pick(n, callSent); c != nil {
			n.desk.RecordDone(c.grant, 200, "text/plain", []byte("ok"))
			c.state = callEnded
		}
	case "unknown":
		if c := m.pick(n, callSent); c != nil {
			n.desk.RecordUnknown(c.grant)
			c.state = callEnded
		}
	case "crash":
		m.nodes[i] = m.newNode()
	case "limbo":
		m.landLimbo()
	case "expire":
		m.expire()
	case "lose":
		m.lose()
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

func (m *model) giveUp(n *modelNode, c *modelCall) {
	if c == nil {
		return
	}
	_, err := n.desk.giveUp(c.id, c.waiter)
	m.fate(c, err)
}

func (m *model) void(n *modelNode, c *modelCall) {
	if c == nil {
		return
	}
	n.desk.Void(c.grant)
	c.state = callEnded
	c.notRun = true
}

func (m *model) landLimbo() {
	if len(m.limbo) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.limbo)-1).Draw(m.t, "limbo")
	m.land(m.limbo[i])
	m.limbo = append(m.limbo[:i], m.limbo[i+1:]...)
}

// expire drops records that are older than any valid key, as retention does.
func (m *model) expire() {
	for len(m.records) > 0 && time.Since(m.records[0].Time()) > testBounds.Validity+2*testBounds.Skew {
		m.records = m.records[1:]
		m.first++
	}
}

// lose drops records that still matter, as a retention set too short does. Nodes
// that start afterwards must not claim what they cannot know.
func (m *model) lose() {
	n := len(m.records) / 2
	m.records = m.records[n:]
	m.first += medlarid.Offset(n)
}

// checkRuns checks the promises about each request and call.
func (m *model) checkRuns() {
	for key, n := range m.runs {
		if n > 1 {
			m.t.Fatalf("request %x ran %d times", key, n)
		}
	}
	for _, n := range m.nodes {
		for _, c := range n.calls {
			if c.ran && c.notRun {
				m.t.Fatalf("call %s ran and was reported as not run", c.id)
			}
		}
	}
}

// checkAgreement lets all nodes read to the end and compares the tables of those
// that are complete, for the keys that can still be claimed. A node that has lost
// the original of a repeated claim knows it by the offset of its copy until the
// key expires; no claim can depend on that.
func (m *model) checkAgreement() {
	var want map[Key]*Entry
	for _, n := range append(m.nodes, m.newNode()) {
		m.read(n, len(m.records)+1)
		if !n.desk.table.Complete(time.Now()) {
			continue
		}
		got := claimable(n.desk.table.entries)
		if want == nil {
			want = got
		}
		if d := cmp.Diff(want, got); d != "" {
			m.t.Fatalf("two nodes that read the same records differ:\n%s", d)
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

func TestHistories(t *testing.T) {
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
		t.Fatalf("the histories made %d calls and %d runs", calls, runs)
	}
	t.Logf("%d calls, %d requests ran", calls, runs)
}

// play makes one history.
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

// inBubble runs f with a clock of its own. A panic, by which a history ends
// early, is passed on.
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
