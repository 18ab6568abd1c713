package medlarmember

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmessage"
)

// callOverhead is what one call costs on the wire beside its two messages, in
// bytes: yamux headers to open, send and close a stream both ways, a TLS record
// around each, and IP and TCP headers of four packets.
const callOverhead = 6*12 + 6*22 + 4*52

// network is a set of instances in memory, with faults.
type network struct {
	t       testing.TB
	nodes   map[medlarid.InstanceID]*Prober
	ids     []medlarid.InstanceID
	mu      sync.Mutex
	down    map[medlarid.InstanceID]bool
	side    map[medlarid.InstanceID]int // sides that do not reach each other
	loss    float64
	rand    *rand.Rand
	calls   map[medlarid.InstanceID]int
	bytes   map[medlarid.InstanceID]int
	cancels map[medlarid.InstanceID]context.CancelFunc
	wg      sync.WaitGroup
}

var errLost = errors.New("lost")

func newNetwork(t testing.TB, n int) *network {
	t.Helper()
	net := &network{
		t:       t,
		nodes:   map[medlarid.InstanceID]*Prober{},
		down:    map[medlarid.InstanceID]bool{},
		side:    map[medlarid.InstanceID]int{},
		rand:    rand.New(rand.NewPCG(1, 2)),
		calls:   map[medlarid.InstanceID]int{},
		bytes:   map[medlarid.InstanceID]int{},
		cancels: map[medlarid.InstanceID]context.CancelFunc{},
	}
	for i := range n {
		net.ids = append(net.ids, medlarid.InstanceID(fmt.Sprintf("entry-%03d", i)))
	}
	for _, id := range net.ids {
		net.add(id)
	}
	for _, id := range net.ids {
		ctx, cancel := context.WithCancel(context.Background())
		net.cancels[id] = cancel
		net.wg.Go(func() { net.nodes[id].Run(ctx) })
	}
	return net
}

func (n *network) add(id medlarid.InstanceID) {
	p := NewProber(id, func(ctx context.Context, to medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
		return n.call(ctx, id, to, f)
	}, nil)
	p.SetInstances(n.ids)
	n.nodes[id] = p
}

func (n *network) stop() {
	for _, cancel := range n.cancels {
		cancel()
	}
	n.wg.Wait()
}

// call carries a call, or loses it.
func (n *network) call(ctx context.Context, from, to medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	n.mu.Lock()
	lost := n.down[from] || n.down[to] || n.side[from] != n.side[to] || n.rand.Float64() < n.loss
	target := n.nodes[to]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(time.Millisecond)
	r, ok := target.Handle(ctx, from, f)
	if !ok {
		return nil, errLost
	}
	n.count(from, to, proto.Size(f)+proto.Size(r)+callOverhead)
	return r, nil
}

func (n *network) count(from, to medlarid.InstanceID, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range []medlarid.InstanceID{from, to} {
		n.calls[id]++
		n.bytes[id] += bytes
	}
}

func (n *network) setDown(down bool, ids ...medlarid.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.down[id] = down
	}
}

// agree waits until every instance that is up believes exactly the given ones
// to live, and returns how long that took.
func (n *network) agree(want int, within time.Duration) time.Duration {
	n.t.Helper()
	begin := time.Now()
	for {
		behind := 0
		for id, p := range n.nodes {
			if !n.down[id] && len(p.Live()) != want {
				behind++
			}
		}
		took := time.Since(begin)
		if behind == 0 {
			return took
		}
		if took > within {
			n.t.Fatalf("after %v %d instances do not count %d live members", took, behind, want)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sizes returns the numbers of members that tests run with: today's and the one to come.
func sizes() []int {
	if testing.Short() {
		return []int{5, 50}
	}
	return []int{5, 50, 400}
}

func TestAllMembersSeeFailureAndRecovery(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, size)
				defer n.stop()
				time.Sleep(10 * time.Second)
				n.setDown(true, n.ids[1])
				t.Logf("death was seen by all after %v", n.agree(size-1, 30*time.Second))
				n.setDown(false, n.ids[1])
				t.Logf("return was seen by all after %v", n.agree(size, 60*time.Second))
			})
		})
	}
}

// apartBound is the time in which each part of a split platform has counted out the
// other, and metBound the one in which they count each other again. Nothing rests
// on the first: a call to a member that is wrongly thought to live fails and is
// made elsewhere. Its tail is long, since the watchers of a member come to it only
// after those before it were declared dead.
const (
	apartBound = 5 * time.Minute
	metBound   = 2 * time.Minute
)

func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 50)
		defer n.stop()
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		for i, id := range n.ids {
			n.side[id] = i % 2
		}
		n.mu.Unlock()
		t.Logf("each part counts itself alone after %v", n.agree(25, apartBound))
		time.Sleep(5 * time.Minute)
		n.mu.Lock()
		clear(n.side)
		n.mu.Unlock()
		t.Logf("all were counted again after %v", n.agree(50, metBound))
	})
}

func TestLossCausesNoFlapping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 50)
		defer n.stop()
		n.mu.Lock()
		n.loss = 0.1
		n.mu.Unlock()
		time.Sleep(10 * time.Minute)
		for id, p := range n.nodes {
			if p.DeclaredDead() > 0 || len(p.Live()) != 50 {
				t.Errorf("%s declared %d members dead and counts %d", id, p.DeclaredDead(), len(p.Live()))
			}
		}
	})
}

// controlBytes is what a node may spend for control, in bytes a second.
const controlBytes = 3 << 10

func TestTrafficIsIndependentOfMemberCount(t *testing.T) {
	const minutes = 2
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, size)
				defer n.stop()
				time.Sleep(minutes * time.Minute)
				n.mu.Lock()
				most, calls := 0, 0
				for id := range n.nodes {
					most = max(most, n.bytes[id])
					calls = max(calls, n.calls[id])
				}
				n.mu.Unlock()
				seconds := minutes * 60
				t.Logf("%d members: at most %d bytes and %.1f calls a second", size, most/seconds, float64(calls)/float64(seconds))
				if most/seconds > controlBytes {
					t.Errorf("%d bytes a second, more than %d", most/seconds, controlBytes)
				}
			})
		})
	}
}

func TestRumorPrecedence(t *testing.T) {
	rumor := func(inc uint64, s State) *medlarmessage.Rumor {
		return &medlarmessage.Rumor{Node: "b", Incarnation: inc, State: s}
	}
	for _, tc := range []struct {
		name string
		hear []*medlarmessage.Rumor
		want State
	}{
		{"suspected", []*medlarmessage.Rumor{rumor(5, Suspect)}, Suspect},
		{"refuted", []*medlarmessage.Rumor{rumor(5, Suspect), rumor(6, Alive)}, Alive},
		{"old refutation", []*medlarmessage.Rumor{rumor(5, Suspect), rumor(5, Alive)}, Suspect},
		{"old death", []*medlarmessage.Rumor{rumor(6, Alive), rumor(5, Dead)}, Alive},
		{"death", []*medlarmessage.Rumor{rumor(6, Alive), rumor(6, Dead)}, Dead},
		{"unknown state", []*medlarmessage.Rumor{rumor(9, 7)}, Alive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable("a", 1)
			now := time.Unix(0, 0)
			table.SetInstances(now, []medlarid.InstanceID{"a", "b"})
			table.ApplyRumors(now, tc.hear)
			if got := table.State("b"); got != tc.want {
				t.Errorf("b is %v, want %v", got, tc.want)
			}
		})
	}
}

func TestSuspectedInstanceRefutesRumor(t *testing.T) {
	table := NewTable("a", 7)
	table.Rumors()
	table.ApplyRumors(time.Unix(0, 0), []*medlarmessage.Rumor{{Node: "a", Incarnation: 7, State: Suspect}})
	for _, r := range table.Rumors() {
		if r.GetNode() == "a" && r.GetIncarnation() == 8 && r.GetState() == Alive {
			return
		}
	}
	t.Error("no rumor refutes the suspicion")
}
