// Package medlarpeerslope measures the cost of the traffic among entry instances, in
// bytes, memory, processor time and latency, as their number grows.
package medlarpeerslope

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmember"
	"medlarfield/internal/peer/medlarmessage"
	"medlarfield/internal/peer/medlarrelay"
	"medlarfield/internal/peer/medlarshare"
	"medlarfield/internal/peer/medlartransport"
	"medlarfield/internal/stand/medlarfakelog"
	"medlarfield/internal/stand/medlarmeasure"
	"medlarfield/internal/stand/medlartestca"
	"medlarfield/internal/upstream/medlarlog"
)

// Parameters of the measurements.
const (
	membershipTime = 8 * time.Second
	zones          = 7
	publications   = 5
	members        = 410 // entry instances of the planned deployment
	// callOverhead is the number of bytes that a call adds on the wire to its two
	// messages: yamux headers, TLS records, and the IP and TCP headers of four
	// packets.
	callOverhead = 6*12 + 6*22 + 4*52
)

// memoryNetwork passes calls between probers in memory and counts the bytes that they would
// take on the wire.
type memoryNetwork struct {
	probers map[medlarid.InstanceID]*medlarmember.Prober
	bytes   atomic.Int64
}

func (n *memoryNetwork) call(ctx context.Context, from, to medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	r, ok := n.probers[to].Handle(ctx, from, f)
	if !ok {
		return nil, eris.New("the prober does not handle this call")
	}
	n.bytes.Add(int64(proto.Size(f) + proto.Size(r) + callOverhead))
	return r, nil
}

func memberNames(n int) []medlarid.InstanceID {
	out := make([]medlarid.InstanceID, n)
	for i := range out {
		out[i] = medlarid.InstanceID(fmt.Sprintf("entry-%d", i))
	}
	return out
}

// Membership runs the membership protocol among n members for membershipTime and returns,
// for each member, the bytes per second and the share of a processor core. The bytes
// of a call count for both the sender and the receiver.
func Membership(n int) (bytesPerSecond, core float64) {
	net := &memoryNetwork{probers: map[medlarid.InstanceID]*medlarmember.Prober{}}
	ids := memberNames(n)
	for _, id := range ids {
		net.probers[id] = medlarmember.NewProber(id, func(ctx context.Context, to medlarid.InstanceID, f *medlarmessage.Frame) (*medlarmessage.Reply, error) {
			return net.call(ctx, id, to, f)
		}, nil)
		net.probers[id].SetInstances(ids)
	}
	ctx, cancel := context.WithTimeout(context.Background(), membershipTime)
	defer cancel()
	var wg sync.WaitGroup
	begin := processorTime()
	for _, p := range net.probers {
		wg.Go(func() { p.Run(ctx) })
	}
	wg.Wait()
	used := (processorTime() - begin).Seconds()
	seconds := membershipTime.Seconds()
	return 2 * float64(net.bytes.Load()) / seconds / float64(n), used / seconds / float64(n)
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ViewBytes returns the memory that one member's view of n members takes.
func ViewBytes(n int) (float64, error) {
	const copies = 20
	ids := memberNames(n)
	bytes := medlarmeasure.Retained(func() any {
		var all []*medlarmember.Prober
		for i := range copies {
			p := medlarmember.NewProber(ids[i%len(ids)], nil, nil)
			p.SetInstances(ids)
			all = append(all, p)
		}
		return all
	})
	return bytes / copies, nil
}

// SessionBytes opens sessions from one instance to n others over loopback and returns
// the memory that they take at one end. Both ends are in this process, so the result
// is half of the growth of the heap.
func SessionBytes(n int) (float64, error) {
	dir, err := os.MkdirTemp("", "medlarslope")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	authority, err := medlartestca.New()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addresses := map[medlarid.InstanceID]medlarid.Address{}
	var transports []*medlartransport.Transport
	defer func() {
		for _, l := range transports {
			l.Close()
		}
	}()
	for _, id := range memberNames(n + 1) {
		l, err := newTransport(ctx, authority, dir, id, addresses)
		if err != nil {
			return 0, err
		}
		transports = append(transports, l)
	}
	before := medlarmeasure.Heap()
	for _, id := range memberNames(n + 1)[1:] {
		if _, err := transports[0].Call(ctx, id, &medlarmessage.Frame{Body: &medlarmessage.Frame_Probe{Probe: &medlarmessage.Probe{}}}); err != nil {
			return 0, err
		}
	}
	time.Sleep(50 * time.Millisecond)
	return (medlarmeasure.Heap() - before) / 2, nil
}

// newTransport starts the transport of an instance on a free port and records its address
// in at.
func newTransport(ctx context.Context, a *medlartestca.Authority, dir string, id medlarid.InstanceID, addresses map[medlarid.InstanceID]medlarid.Address) (*medlartransport.Transport, error) {
	files, err := a.Write(dir, id, time.Hour)
	if err != nil {
		return nil, err
	}
	credentials, err := medlartransport.NewCredentials(files, func(error) {})
	if err != nil {
		return nil, err
	}
	address := func(to medlarid.InstanceID) medlarid.Address { return addresses[to] }
	handle := func(context.Context, medlarid.InstanceID, *medlarmessage.Frame) *medlarmessage.Reply {
		return &medlarmessage.Reply{}
	}
	transport := medlartransport.New(credentials, address, handle, func() {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addresses[id] = medlarid.Address(ln.Addr().String())
	go transport.Serve(ctx, ln)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	return transport, nil
}

// readerFleet is a set of readers of the lists stream in several availability zones.
type readerFleet struct {
	log     *medlarfakelog.Log
	relays  map[medlarid.InstanceID]*medlarrelay.Relay
	reads   atomic.Int64
	pending sync.WaitGroup // readers that have not applied the latest publication
}

// newReaderFleet starts n readers, which run until ctx is done.
func newReaderFleet(ctx context.Context, n int) *readerFleet {
	f := &readerFleet{log: medlarfakelog.New(medlarfakelog.Settings{}), relays: map[medlarid.InstanceID]*medlarrelay.Relay{}}
	byZone := make([][]medlarid.InstanceID, zones)
	for i, id := range memberNames(n) {
		byZone[i%zones] = append(byZone[i%zones], id)
	}
	for i, id := range memberNames(n) {
		f.relays[id] = medlarrelay.New(medlarrecord.StreamLists, medlarrelay.Deps{
			Self:      id,
			Zone:      func() []medlarid.InstanceID { return byZone[i%zones] },
			Call:      f.call,
			Read:      f.read,
			CountRead: func(string) {},
		})
	}
	for _, r := range f.relays {
		fl := medlarfollower.New(medlarfollower.Deps{
			Read:        medlarfollower.ReadFunc(r.Read),
			Apply:       func(medlarlog.Entry) { f.pending.Done() },
			OnGap:       func(medlarid.Offset) {},
			OnRead:      func(bool) {},
			OnReadError: func(error) {},
		}, 1)
		go fl.Run(ctx)
	}
	return f
}

func (f *readerFleet) call(ctx context.Context, to medlarid.InstanceID, q *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	time.Sleep(time.Millisecond) // round trip within a zone
	r, _ := f.relays[to].Handle(ctx, q)
	return r, nil
}

func (f *readerFleet) read(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	f.reads.Add(1)
	time.Sleep(time.Millisecond)
	return f.log.Read(medlarrecord.StreamLists, from, limit, wait), nil
}

// FanOut returns the milliseconds from a publication until all n readers have applied
// it, for the slowest of several publications.
func FanOut(n int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newReaderFleet(ctx, n)
	time.Sleep(300 * time.Millisecond)
	slowest := 0.0
	for range publications {
		f.pending.Add(n)
		begin := time.Now()
		f.log.Append(medlarrecord.StreamLists, make([]byte, 256))
		f.pending.Wait()
		slowest = max(slowest, time.Since(begin).Seconds()*1e3)
	}
	return slowest, nil
}

// IdleReads returns the reads of the log per second by n readers while nothing is
// published.
func IdleReads(n int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newReaderFleet(ctx, n)
	time.Sleep(500 * time.Millisecond)
	before := f.reads.Load()
	time.Sleep(10500 * time.Millisecond)
	return float64(f.reads.Load()-before) / 10.5, nil
}

// AllocatorBytes returns the memory that a share allocator with n accounts takes.
func AllocatorBytes(n int) (float64, error) {
	return medlarmeasure.Retained(func() any { return newAllocator(n) }), nil
}

// newAllocator returns a share allocator with n accounts, for each of which three instances
// have asked for shares.
func newAllocator(n int) *medlarshare.Allocator {
	now := time.Now()
	allocator := medlarshare.NewAllocator(now.Add(-time.Hour))
	for i := range n {
		demand := []medlarshare.Demand{{Account: medlarid.AccountID(fmt.Sprintf("account-%d", i)), Rate: 1, Open: 1}}
		for _, id := range memberNames(3) {
			allocator.Grant(now, id, demand, members)
		}
	}
	return allocator
}

// GrantTime returns the microseconds to grant a share of one of n accounts.
func GrantTime(n int) (float64, error) {
	b := newAllocator(n)
	now := time.Now()
	return medlarmeasure.Micros(medlarmeasure.SecondsPerCall(20000, func(i int) {
		b.Grant(now, "entry-1", []medlarshare.Demand{{Account: medlarid.AccountID(fmt.Sprintf("account-%d", i%n)), Rate: 1, Open: 1}}, members)
	})), nil
}
