package medlardatagram

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarload"
	"medlarfield/internal/core/medlarsum"
	"medlarfield/internal/core/medlarworld"
)

// TestSumsAmongSockets guards against sums that do not arrive, or lack the load of some instances, where there are more instances
// than can tell one another directly; and against load that is told directly as well and counted twice.
func TestSumsAmongSockets(t *testing.T) {
	const instances, rounds = maxTargets + 6, 12
	var mu sync.Mutex
	sums := map[medlarid.InstanceID]map[medlarid.Hash]int{}
	var sockets []*Socket
	for i := range instances {
		id := medlarid.InstanceID(fmt.Sprint("entry-", i))
		s := New(Deps{Self: id, Zone: medlarid.Zone(fmt.Sprint("zone-", i%3)), Key: Key(i), OnForgotten: func(medlarid.InstanceID) {}, OnIgnored: func(err error) { t.Error(err) }})
		s.SetOnLoad(func(e medlarworld.PeerLoadReported) {
			if len(e.Loads) > 0 {
				t.Errorf("%s tells its load directly", e.Peer)
			}
		})
		s.SetOnSum(func(e medlarworld.PeerSumReported) {
			got := map[medlarid.Hash]int{}
			for _, l := range e.Loads {
				got[l.Upstream] = l.Open
			}
			mu.Lock()
			defer mu.Unlock()
			sums[id] = got
		})
		if err := s.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		sockets = append(sockets, s)
	}
	for _, s := range sockets {
		for _, o := range sockets {
			s.SetPeer(o.deps.Self, Peer{Address: o.Address(), Key: o.Key(), Zone: o.deps.Zone})
		}
	}
	right := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range sockets {
			if got := sums[s.deps.Self]; got[1] == 2*(instances-1) && got[2] == instances-1 {
				n++
			}
		}
		return n
	}
	for deadline := time.Now().Add(10 * soon); right() < instances && time.Now().Before(deadline); time.Sleep(medlarsum.Interval) {
		for _, s := range sockets {
			s.Tell(medlarworld.TellLoad{Loads: []medlarload.Load{{Upstream: 1, Open: 2}, {Upstream: 2, Open: 1, Pending: 640}}, Upstreams: 2})
		}
	}
	if n := right(); n < instances {
		t.Errorf("%d of %d instances know the load of all others", n, instances)
	}
	if age, ok := sockets[0].SumAge(); !ok || age > medlarsum.TotalTTL {
		t.Errorf("age of sums %v, %v; want one of at most %v", age, ok, medlarsum.TotalTTL)
	}
	if sent, received := sockets[0].Datagrams(); sent == 0 || received == 0 {
		t.Errorf("%d datagrams sent and %d received", sent, received)
	}
}

// traffic is what an instance sends or receives in a second.
type traffic struct{ datagrams, bytes int }

func (a traffic) String() string {
	return fmt.Sprintf("%d datagrams, %.1f KB", a.datagrams, float64(a.bytes)/1000)
}

// TestCostOfSums guards against a cost for an instance that grows with the fleet, against a collector that costs more than a small
// instance's link carries, and against datagrams that are too long. All upstreams have attempts in flight.
func TestCostOfSums(t *testing.T) {
	for _, size := range []struct {
		instances, upstreams int
		// Bytes a second that an ordinary instance and a collector may send and receive together. The slowest links have
		// 10 Mbit/s, 1,250,000 bytes a second.
		ordinary, collector int
	}{{70, 93, 12_500, 500_000}, {143, 93, 12_500, 500_000}, {300, 93, 12_500, 500_000}, {410, 93, 12_500, 500_000}, {410, 760, 62_500, 750_000}} {
		if testing.Short() && size.instances > 143 { // takes most of a minute with the race detector
			continue
		}
		t.Run(fmt.Sprint(size.instances, "x", size.upstreams), func(t *testing.T) {
			sent, received, largest, zones := playSums(t, size.instances, size.upstreams)
			if largest > maxDatagram {
				t.Errorf("a datagram has %d bytes, %d allowed", largest, maxDatagram)
			}
			total := make([]traffic, 0, size.instances)
			for id := range sent {
				total = append(total, traffic{sent[id].datagrams + received[id].datagrams, sent[id].bytes + received[id].bytes})
			}
			slices.SortFunc(total, func(a, b traffic) int { return a.bytes - b.bytes })
			t.Logf("largest datagram %d; a second, sent and received: least %v, middle %v, most %v; between zones, all together: %v",
				largest, total[0], total[len(total)/2], total[len(total)-1], zones)
			if least := total[0].bytes; least > size.ordinary {
				t.Errorf("an ordinary instance has %d bytes a second, %d allowed", least, size.ordinary)
			}
			if most := total[len(total)-1].bytes; most > size.collector {
				t.Errorf("a collector has %d bytes a second, %d allowed", most, size.collector)
			}
		})
	}
}

// playSums plays some seconds of a fleet whose instances have three attempts in flight each or so, and returns the traffic of a second.
func playSums(t *testing.T, instances, upstreams int) (sent, received map[medlarid.InstanceID]traffic, largest int, zones traffic) {
	t.Helper()
	const seconds = 3
	draw := rand.New(rand.NewPCG(1, uint64(instances)))
	sent, received = map[medlarid.InstanceID]traffic{}, map[medlarid.InstanceID]traffic{}
	type packet struct {
		from, to medlarid.InstanceID
		content  []byte
	}
	var packets []packet
	var members []medlarsum.Member
	nodes := map[medlarid.InstanceID]*medlarsum.Node{}
	zoneOf := map[medlarid.InstanceID]medlarid.Zone{}
	for i := range instances {
		m := medlarsum.Member{ID: medlarid.InstanceID(fmt.Sprint("games-entry-", i)), Zone: medlarid.Zone(fmt.Sprint("zone-", i%3))}
		members, zoneOf[m.ID] = append(members, m), m.Zone
		nodes[m.ID] = medlarsum.New(medlarsum.Deps{Self: m.ID, Zone: m.Zone, FirstReport: draw.Uint64(), OnTotal: func(medlarsum.Total) {}, Send: func(to medlarid.InstanceID, s medlarsum.Message) {
			packets = append(packets, packet{m.ID, to, encode(message{Sender: m.ID, Key: Key(draw.Uint64()), Serial: uint64(time.Now().UnixNano()), Sum: &s})})
		}})
	}
	count := func(m map[medlarid.InstanceID]traffic, id medlarid.InstanceID, n int) {
		m[id] = traffic{m[id].datagrams + 1, m[id].bytes + n}
	}
	now := time.Unix(1000, 0)
	for round := range (seconds + 1) * 10 {
		if round == 10 {
			clear(sent)
			clear(received)
			zones = traffic{}
		}
		for i, m := range members {
			if round == 0 {
				nodes[m.ID].SetMembers(slices.DeleteFunc(slices.Clone(members), func(o medlarsum.Member) bool { return o == m }))
			}
			var own []medlarload.Load
			for j := range max(3, (upstreams+instances-1)/instances) {
				own = append(own, medlarload.Load{Upstream: medlarid.HashOf(medlarid.InstanceID(fmt.Sprint("replica-", (i+j*instances)%upstreams))), Open: 2, Pending: 1000})
			}
			nodes[m.ID].Report(now, own, upstreams)
		}
		for _, m := range members {
			nodes[m.ID].Tick(now)
		}
		for _, p := range packets {
			n := len(p.content)
			largest = max(largest, n)
			count(sent, p.from, n)
			count(received, p.to, n)
			if zoneOf[p.from] != zoneOf[p.to] {
				zones = traffic{zones.datagrams + 1, zones.bytes + n}
			}
		}
		arrived := packets
		packets = nil
		for _, p := range arrived {
			m, err := decode(p.content)
			if err != nil {
				t.Fatal(err)
			}
			nodes[p.to].Receive(now, p.from, *m.Sum)
		}
		now = now.Add(medlarsum.Interval)
	}
	for _, m := range []map[medlarid.InstanceID]traffic{sent, received} {
		for id, v := range m {
			m[id] = traffic{v.datagrams / seconds, v.bytes / seconds}
		}
	}
	return sent, received, largest, traffic{zones.datagrams / seconds, zones.bytes / seconds}
}
