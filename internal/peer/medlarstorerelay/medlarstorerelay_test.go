package medlarstorerelay_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarpause"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/ops/medlarcachetracker"
	"medlarfield/internal/peer/medlarstorerelay"
	"medlarfield/internal/peer/medlartunnel"
)

var errDown = errors.New("down")

// kvStore is a KV store that waits for changes as it is asked to, and lets some readers wait at once.
type kvStore struct {
	mu      sync.Mutex
	epoch   uint64
	events  []medlarcachetracker.Change
	first   uint64 // sequence number of the first event that is kept
	changed chan struct{}
	waiting int
	calls   int
	lists   int
	refused int
	started time.Time // start of the epoch
	// removed has when parts were removed, held the parts.
	removed map[medlarkey.Key]time.Time
	held    map[medlarkey.Key]medlarcachetracker.Part
	down    bool
}

const places = 12

func newKVStore() *kvStore {
	return &kvStore{epoch: 1, changed: make(chan struct{}), started: time.Now(), removed: map[medlarkey.Key]time.Time{}, held: map[medlarkey.Key]medlarcachetracker.Part{}}
}

func partOf(id string) medlarcachetracker.Part {
	return medlarcachetracker.Part{Salt: medlarkey.NewCacheSalt("1", ""), ID: id, Tokens: 100, Model: "m"}
}

func keyOf(p medlarcachetracker.Part) medlarkey.Key { return medlarkey.Part(p.Salt, p.Model, p.ID) }

// change adds or removes parts.
func (s *kvStore) change(added bool, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		p := partOf(id)
		s.events = append(s.events, medlarcachetracker.Change{Part: p, Added: added})
		if added {
			s.held[keyOf(p)] = p
			delete(s.removed, keyOf(p))
		} else {
			delete(s.held, keyOf(p))
			s.removed[keyOf(p)] = time.Now()
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// restart starts the store anew, without contents.
func (s *kvStore) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.started = time.Now()
	s.first, s.events = s.first+uint64(len(s.events))+1, nil // calls for changes since before are answered with a gap
	for k := range s.held {
		s.removed[k] = time.Now()
	}
	s.held = map[medlarkey.Key]medlarcachetracker.Part{}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) list(medlarid.Address) (medlarcachetracker.ChangeBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return medlarcachetracker.ChangeBatch{}, errDown
	}
	c := medlarcachetracker.ChangeBatch{Epoch: s.epoch, Next: s.first + uint64(len(s.events))}
	for _, p := range s.held {
		c.Changes = append(c.Changes, medlarcachetracker.Change{Part: p, Added: true})
	}
	return c, nil
}

func (s *kvStore) readChanges(_ medlarid.Address, since uint64, wait time.Duration) (medlarcachetracker.ChangeBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.waiting == places {
		s.refused++
		return medlarcachetracker.ChangeBatch{Throttled: true}, nil
	}
	s.waiting++
	defer func() { s.waiting-- }()
	if epoch := s.epoch; !s.down && since == s.first+uint64(len(s.events)) {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		}
		s.mu.Lock()
		if s.epoch != epoch {
			return medlarcachetracker.ChangeBatch{Epoch: s.epoch, Gap: true}, nil
		}
	}
	if s.down {
		return medlarcachetracker.ChangeBatch{}, errDown
	}
	if since < s.first || since > s.first+uint64(len(s.events)) {
		return medlarcachetracker.ChangeBatch{Epoch: s.epoch, Gap: true}, nil
	}
	return medlarcachetracker.ChangeBatch{Epoch: s.epoch, Next: s.first + uint64(len(s.events)), Changes: slices.Clone(s.events[since-s.first:])}, nil
}

// counts returns the number of calls since resetStale.
func (s *kvStore) counts() (calls, lists, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lists, s.refused
}

// view returns a copy of what the instance knows of a store.
func (n *node) view(id medlarid.InstanceID) view {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.views[id]
}

// fleet is instances that read stores and relay what they read, on the fake clock.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	stores map[medlarid.InstanceID]*kvStore
	nodes  []*node

	mu   sync.Mutex
	live []medlarstorerelay.Instance
}

// node is one instance.
type node struct {
	fleet  *fleet
	id     medlarid.InstanceID
	zone   medlarid.Zone
	relay  *medlarstorerelay.Relay
	serve  func(net.Conn)
	cancel context.CancelFunc

	mu    sync.Mutex
	conns []net.Conn
	down  bool          // other instances don't reach it
	old   bool          // a build that does not relay
	hold  time.Duration // for which its answers are held up
	views map[medlarid.InstanceID]*view
	peer  int // reports of other instances
}

// view is what the core of an instance knows of a store.
type view struct {
	epoch      uint64
	at         time.Time
	parts      map[medlarkey.Key]bool
	staleSince time.Time // zero while contents are current
	stale      time.Duration
	voids      int
	dated      int
}

// newFleet starts instances that are spread over zones in turn. It ends with the test.
func newFleet(t *testing.T, instances, zones, stores int) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, stores: map[medlarid.InstanceID]*kvStore{}}
	for i := range stores {
		f.stores[medlarid.InstanceID(fmt.Sprint("kv-", i))] = newKVStore()
	}
	for i := range instances {
		n := &node{fleet: f, id: medlarid.InstanceID(fmt.Sprintf("entry-%03d", i)), zone: medlarid.Zone(fmt.Sprint("z", i%zones)), views: map[medlarid.InstanceID]*view{}}
		f.nodes = append(f.nodes, n)
		f.live = append(f.live, medlarstorerelay.Instance{ID: n.id, Zone: n.zone, Peer: medlartunnel.Peer{Address: medlarid.Address(n.id), Key: 1}})
	}
	for _, n := range f.nodes {
		n.start()
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second) // lets calls in progress end
	})
	return f
}

// start starts an instance.
func (n *node) start() {
	ctx, cancel := context.WithCancel(n.fleet.ctx)
	n.cancel = cancel
	none := func() time.Duration { return 0 }
	p := medlarstorerelay.NewPublisher(none)
	n.mu.Lock()
	n.serve = p.Serve
	n.mu.Unlock()
	var tracker *medlarcachetracker.Tracker
	relay := medlarstorerelay.New(medlarstorerelay.Deps{
		Self: n.id, Zone: n.zone, Publisher: p, Suspended: none, Post: n.post,
		Instances: func() []medlarstorerelay.Instance {
			n.fleet.mu.Lock()
			defer n.fleet.mu.Unlock()
			return slices.DeleteFunc(slices.Clone(n.fleet.live), func(i medlarstorerelay.Instance) bool { return i.ID == n.id })
		},
		Stores:    func() []medlarid.InstanceID { return slices.Sorted(maps.Keys(n.fleet.stores)) },
		Subscribe: n.dial,
		OnDirect:  func() { tracker.Rescan() },
		OnRead:    func() { n.mu.Lock(); n.peer++; n.mu.Unlock() },
	})
	n.relay = relay
	tracker = medlarcachetracker.New(0, medlarcachetracker.Deps{
		Stores: func() (out []medlarcachetracker.StoreRef) {
			for _, id := range slices.Sorted(maps.Keys(n.fleet.stores)) {
				if turn, ok := relay.Reads(id); ok {
					out = append(out, medlarcachetracker.StoreRef{ID: id, Address: medlarid.Address(id), Turn: turn})
				}
			}
			return out
		},
		List: func(at medlarid.Address) (medlarcachetracker.ChangeBatch, error) {
			p.Began(medlarid.InstanceID(at))
			return n.fleet.stores[medlarid.InstanceID(at)].list(at)
		},
		Events: func(at medlarid.Address, since uint64, wait time.Duration) (medlarcachetracker.ChangeBatch, error) {
			p.Began(medlarid.InstanceID(at))
			return n.fleet.stores[medlarid.InstanceID(at)].readChanges(at, since, wait)
		},
		Free:        func(medlarid.Address, uint64, []medlarcachetracker.Part, time.Time) error { return nil },
		Post:        func(e medlarworld.Event) { relay.Report(e.(medlarworld.InventoryReported)) },
		ReplacedAt:  func(medlarid.ModelID, medlarid.WeightVersion) (time.Time, bool) { return time.Time{}, false },
		PartsUnused: func(medlarid.ModelID, medlarid.WeightVersion) bool { return false },
		Few:         relay.Few, OnUnavailable: func(medlarcachetracker.StoreRef, error) {}, OnRecovered: func(medlarcachetracker.StoreRef) {},
		OnListed: func(medlarcachetracker.StoreRef, uint64, int) {}, OnFreed: func(medlarcachetracker.StoreRef, int, error) {},
		OnMalformed: func(medlarcachetracker.StoreRef, int, bool) {},
	})
	go relay.Run(ctx)
	go tracker.Run(ctx)
}

// heldConn holds up what is written.
type heldConn struct {
	net.Conn
	node *node
}

func (c heldConn) Write(b []byte) (int, error) {
	c.node.mu.Lock()
	hold := c.node.hold
	c.node.mu.Unlock()
	if hold > 0 {
		medlarpause.For(c.node.fleet.ctx, hold)
	}
	return c.Conn.Write(b)
}

func (c heldConn) SetWriteDeadline(time.Time) error { return nil }

// dial opens a connection to another instance.
func (n *node) dial(ctx context.Context, p medlartunnel.Peer) (net.Conn, error) {
	for _, o := range n.fleet.nodes {
		if medlarid.Address(o.id) != p.Address {
			continue
		}
		o.mu.Lock()
		down, serve, old := o.down, o.serve, o.old || o.serve == nil
		o.mu.Unlock()
		if down {
			select { // the machine does not answer
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
			return nil, errDown
		}
		if old {
			return nil, errDown
		}
		near, far := net.Pipe()
		o.mu.Lock()
		o.conns = append(o.conns, near, far)
		o.mu.Unlock()
		go serve(heldConn{far, o})
		return near, nil
	}
	return nil, errDown
}

// crash ends an instance; others find its connections closed.
func (n *node) crash() {
	n.cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = true
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// post takes a report as the core does, and checks that it states nothing that was not so at its date.
func (n *node) post(e medlarworld.Event) {
	r := e.(medlarworld.InventoryReported)
	s := n.fleet.stores[r.Store]
	s.mu.Lock()
	defer s.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.views[r.Store]
	if v == nil {
		v = &view{staleSince: time.Now()}
		n.views[r.Store] = v
	}
	now := time.Now()
	if !v.at.IsZero() { // contents since the last report
		if end := v.at.Add(medlarplacement.ReportTTL); end.Before(now) {
			v.stale += now.Sub(end)
		}
	} else {
		v.stale += now.Sub(v.staleSince)
	}
	v.staleSince = now
	if r.Reset {
		v.parts = map[medlarkey.Key]bool{}
	}
	for _, k := range r.Removed {
		delete(v.parts, k)
	}
	for _, p := range r.Added {
		v.parts[p.Key] = true
	}
	v.at, v.epoch = r.At, r.Epoch
	if r.At.IsZero() {
		v.voids++
		return
	}
	v.dated++
	if r.At.After(now) {
		n.fleet.t.Errorf("%s: %s is dated %v in the future", n.id, r.Store, r.At.Sub(now))
	}
	if v.epoch != s.epoch && r.At.After(s.started) {
		n.fleet.t.Errorf("%s: contents of start %d of %s are dated %v after the next start", n.id, v.epoch, r.Store, r.At.Sub(s.started))
	}
	if v.epoch == s.epoch {
		for k := range v.parts {
			if at, ok := s.removed[k]; ok && r.At.After(at) && at.After(s.started) {
				n.fleet.t.Errorf("%s: a part of %s is held %v after it was removed", n.id, r.Store, r.At.Sub(at))
			}
		}
	}
}

// setLive stops or starts instances so that the first ones are live, and returns those that were started.
func (f *fleet) setLive(live int) (started []*node) {
	f.mu.Lock()
	f.live = f.live[:0:0]
	for _, n := range f.nodes[:live] {
		f.live = append(f.live, medlarstorerelay.Instance{ID: n.id, Zone: n.zone, Peer: medlartunnel.Peer{Address: medlarid.Address(n.id), Key: 1}})
	}
	f.mu.Unlock()
	for i, n := range f.nodes {
		n.mu.Lock()
		down := n.down
		n.mu.Unlock()
		switch {
		case i >= live && !down:
			n.crash()
		case i < live && down:
			n.restart()
			started = append(started, n)
		}
	}
	return started
}

// restart starts an instance that has crashed.
func (n *node) restart() {
	n.mu.Lock()
	n.down, n.views = false, map[medlarid.InstanceID]*view{}
	n.mu.Unlock()
	n.start()
}

// resetStale starts to count the time for which contents are stale.
func (f *fleet) resetStale() {
	for _, n := range f.nodes {
		n.resetStale()
	}
	for _, s := range f.stores {
		s.mu.Lock()
		s.calls, s.lists, s.refused = 0, 0, 0
		s.mu.Unlock()
	}
}

// resetStale starts to count the time for which contents are stale.
func (n *node) resetStale() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.views {
		v.stale, v.staleSince = 0, time.Now()
	}
	n.peer = 0
}

// assertCurrent asserts that the contents that live instances know are those of the stores, current, and were stale for
// a time at most.
func (f *fleet) assertCurrent(stale time.Duration) {
	f.t.Helper()
	for _, n := range f.nodes {
		for id, s := range f.stores {
			s.mu.Lock()
			n.mu.Lock()
			v := n.views[id]
			switch {
			case n.down:
			case v == nil:
				f.t.Errorf("%s knows nothing of %s", n.id, id)
			case v.at.IsZero() || time.Since(v.at) > medlarplacement.ReportTTL:
				f.t.Errorf("%s: contents of %s are stale", n.id, id)
			case v.stale > stale:
				f.t.Errorf("%s: contents of %s were stale for %v, want %v at most", n.id, id, v.stale, stale)
			case v.epoch != s.epoch || len(v.parts) != len(s.held):
				f.t.Errorf("%s: %d parts of %s in start %d, want %d in %d", n.id, len(v.parts), id, v.epoch, len(s.held), s.epoch)
			}
			n.mu.Unlock()
			s.mu.Unlock()
		}
	}
}

// readers returns the live instances that read a store.
func (f *fleet) readers(id medlarid.InstanceID) (out []*node) {
	for _, n := range f.nodes {
		n.mu.Lock()
		down := n.down
		n.mu.Unlock()
		if down {
			continue
		}
		if _, ok := n.relay.Reads(id); ok {
			out = append(out, n)
		}
	}
	return out
}

// settle is the time after which instances that started together know the readers, and stores don't count as contended.
const settle = 15 * time.Second

// run runs a test with a fleet.
func run(t *testing.T, instances, zones, stores int, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, instances, zones, stores)
		time.Sleep(settle)
		f(fl)
	})
}

// TestFewReaders guards against stores that refuse calls of a large fleet, and contents that are stale for it.
func TestFewReaders(t *testing.T) {
	for _, tc := range []struct{ instances, zones, readers int }{{12, 3, 12}, {16, 2, 4}, {48, 3, 6}} {
		t.Run(fmt.Sprint(tc.instances), func(t *testing.T) {
			run(t, tc.instances, tc.zones, 3, func(f *fleet) {
				f.resetStale()
				for i := range 60 {
					for _, s := range f.stores {
						s.change(true, fmt.Sprint("a", i), fmt.Sprint("b", i))
						if i%3 == 2 {
							s.change(false, fmt.Sprint("a", i-2))
						}
					}
					time.Sleep(time.Duration(17+i*13%900) * time.Millisecond)
				}
				time.Sleep(time.Second)
				f.assertCurrent(0)
				for id, s := range f.stores {
					if got := len(f.readers(id)); got != tc.readers {
						t.Errorf("%d readers of %s, want %d", got, id, tc.readers)
					}
					calls, lists, refused := s.counts()
					if refused > 0 && tc.instances > 12 {
						t.Errorf("%d of %d calls refused by %s", refused, calls, id)
					}
					t.Logf("%s: %d calls, %d lists, %d refused", id, calls, lists, refused)
				}
				for _, n := range f.nodes {
					n.mu.Lock()
					if tc.instances <= 12 && n.peer > 0 {
						t.Errorf("%s got %d reports of others in a small fleet", n.id, n.peer)
					}
					n.mu.Unlock()
				}
			})
		})
	}
}

// TestReadersThatCrash guards against contents that become stale when readers are gone.
func TestReadersThatCrash(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes int
		silent  bool // their machines don't answer, rather than to close connections
		stale   time.Duration
	}{
		{"one", 1, false, 0},
		{"one that falls silent", 1, true, 200 * time.Millisecond},
		{"both", 2, false, time.Second},
		{"both, which fall silent", 2, true, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 20, 1, 2, func(f *fleet) {
				f.resetStale()
				for _, n := range f.readers("kv-0")[:tc.crashes] {
					if tc.silent {
						n.mu.Lock()
						n.down, n.hold = true, time.Hour
						n.mu.Unlock()
						n.cancel()
					} else {
						n.crash()
					}
				}
				f.stores["kv-0"].change(true, "new")
				time.Sleep(4 * time.Second)
				f.assertCurrent(tc.stale)
				time.Sleep(30 * time.Second)
				// The third in rank need not know that the second one is gone: it may get the contents from another one.
				if got := len(f.readers("kv-0")); got < 1 || got > 2 {
					t.Errorf("%d readers after the crash, want 1 or 2", got)
				}
				f.assertCurrent(tc.stale)
			})
		})
	}
}

// TestStoreStartsAnew guards against instances that go by the contents of an earlier start of a store.
func TestStoreStartsAnew(t *testing.T) {
	run(t, 16, 1, 1, func(f *fleet) {
		s := f.stores["kv-0"]
		s.change(true, "a", "b")
		time.Sleep(time.Second)
		s.restart()
		time.Sleep(400 * time.Millisecond)
		for _, n := range f.nodes {
			if n.view("kv-0").epoch != 2 {
				t.Errorf("%s does not know of the new start after 0.4 s", n.id)
			}
		}
		s.change(true, "c")
		time.Sleep(2 * time.Second)
		f.assertCurrent(time.Hour)
	})
}

// TestReaderThatStandsStill guards against contents that appear current because they arrive late.
func TestReaderThatStandsStill(t *testing.T) {
	for _, hold := range []time.Duration{150 * time.Millisecond, 390 * time.Millisecond, 2 * time.Second} {
		t.Run(hold.String(), func(t *testing.T) {
			run(t, 16, 1, 1, func(f *fleet) {
				s := f.stores["kv-0"]
				s.change(true, "a")
				time.Sleep(time.Second)
				for _, n := range f.readers("kv-0") {
					n.mu.Lock()
					n.hold = hold
					n.mu.Unlock()
				}
				for i := range 20 {
					s.change(i%2 == 0, "b")
					time.Sleep(170 * time.Millisecond)
				}
				time.Sleep(5 * time.Second) // post checks what is reported
			})
		})
	}
}

// TestSubscriptionAfterManyChanges guards against an instance that starts late and gets only some of the contents, or
// changes that are lost when a reader keeps no more of them.
func TestSubscriptionAfterManyChanges(t *testing.T) {
	run(t, 16, 1, 1, func(f *fleet) {
		s := f.stores["kv-0"]
		var ids []string
		for i := range 9000 {
			ids = append(ids, fmt.Sprint("p", i))
		}
		for i := 0; i < len(ids); i += 900 {
			s.change(true, ids[i:i+900]...)
			time.Sleep(300 * time.Millisecond)
		}
		late := f.nodes[7]
		late.crash()
		time.Sleep(time.Second)
		s.change(false, ids[:5000]...) // more than readers keep
		time.Sleep(5 * time.Second)
		f.assertCurrent(time.Hour)
		late.restart()
		time.Sleep(10 * time.Second)
		f.assertCurrent(time.Hour)
	})
}

// TestOlderBuilds guards against instances without contents beside older ones that don't relay.
func TestOlderBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 1, 1)
		for i, n := range f.nodes {
			n.mu.Lock()
			n.old = i%2 == 0 || i < 20
			n.mu.Unlock()
		}
		time.Sleep(settle)
		f.assertCurrent(time.Hour)
	})
}

// TestFleetThatGrowsAndShrinks guards against contents that become stale when the readers change.
func TestFleetThatGrowsAndShrinks(t *testing.T) {
	run(t, 20, 1, 2, func(f *fleet) {
		for _, step := range []struct {
			live  int
			stale time.Duration
		}{{14, 0}, {20, 0}, {13, 0}, {12, time.Second}, {20, 0}} {
			f.resetStale()
			for _, n := range f.setLive(step.live) {
				time.Sleep(3 * time.Second)
				n.resetStale()
			}
			for i := range 20 {
				for _, s := range f.stores {
					s.change(i%2 == 0, "x")
				}
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(2 * time.Second) // small fleets read stores that count as contended each 1.1 s
			f.assertCurrent(step.stale)
			for id, s := range f.stores {
				calls, _, refused := s.counts()
				t.Logf("%d live: %s has %d readers, %d calls, %d refused", step.live, id, len(f.readers(id)), calls, refused)
			}
		}
	})
}

// TestStoreThatIsDown guards against a whole fleet that calls a store which is down, and contents that are stale for
// long after it is back.
func TestStoreThatIsDown(t *testing.T) {
	run(t, 20, 1, 1, func(f *fleet) {
		s := f.stores["kv-0"]
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		if got := len(f.readers("kv-0")); got > 4 {
			t.Errorf("%d instances call the store that is down, want 4 at most", got)
		}
		for _, n := range f.nodes {
			if v := n.view("kv-0"); !v.at.IsZero() && time.Since(v.at) < medlarplacement.ReportTTL {
				t.Errorf("%s: contents of a store that is down count as current", n.id)
			}
		}
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.assertCurrent(time.Hour)
	})
}
