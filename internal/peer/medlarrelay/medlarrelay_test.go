package medlarrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/agree/medlarfollower"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlarmessage"
	"medlarfield/internal/stand/medlarfakelog"
	"medlarfield/internal/upstream/medlarlog"
)

const stream = "lists"

var errDown = errors.New("down")

// fleet is an availability zone whose instances follow one log.
type fleet struct {
	log    *medlarfakelog.Log
	ids    []medlarid.InstanceID
	relays map[medlarid.InstanceID]*Relay

	mu       sync.Mutex
	down     map[medlarid.InstanceID]bool
	hung     map[medlarid.InstanceID]bool
	logDown  bool
	reads    map[string]int // by source
	received map[medlarid.InstanceID][]medlarid.Offset
}

func newFleet(size int) *fleet {
	f := &fleet{
		log:      medlarfakelog.New(medlarfakelog.Settings{}),
		relays:   map[medlarid.InstanceID]*Relay{},
		down:     map[medlarid.InstanceID]bool{},
		hung:     map[medlarid.InstanceID]bool{},
		reads:    map[string]int{},
		received: map[medlarid.InstanceID][]medlarid.Offset{},
	}
	for i := range size {
		f.ids = append(f.ids, medlarid.InstanceID(fmt.Sprintf("entry-%03d", i)))
	}
	for _, id := range f.ids {
		f.relays[id] = New(stream, Deps{
			Self:      id,
			Zone:      func() []medlarid.InstanceID { return f.ids },
			Call:      f.call,
			Read:      f.read,
			CountRead: func(source string) { f.mu.Lock(); f.reads[source]++; f.mu.Unlock() },
		})
	}
	return f
}

func (f *fleet) read(from medlarid.Offset, limit int, wait time.Duration) (medlarlog.Batch, error) {
	f.mu.Lock()
	down := f.logDown
	f.mu.Unlock()
	if down {
		return medlarlog.Batch{}, errDown
	}
	return f.log.Read(stream, from, limit, wait), nil
}

func (f *fleet) call(ctx context.Context, to medlarid.InstanceID, q *medlarmessage.Frame) (*medlarmessage.Reply, error) {
	f.mu.Lock()
	down, hung := f.down[to], f.hung[to]
	f.mu.Unlock()
	if hung {
		<-ctx.Done()
		return nil, errDown
	}
	if down {
		return nil, errDown
	}
	time.Sleep(time.Millisecond)
	r, _ := f.relays[to].Handle(ctx, q)
	if r.GetError() != "" {
		return nil, errDown
	}
	return r, nil
}

// follow runs a follower of the stream on every instance until ctx ends.
func (f *fleet) follow(ctx context.Context, wg *sync.WaitGroup) {
	for _, id := range f.ids {
		fl := medlarfollower.New(medlarfollower.Deps{
			Read: medlarfollower.ReadFunc(f.relays[id].Read),
			Apply: func(e medlarlog.Entry) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.received[id] = append(f.received[id], e.Offset)
			},
			OnGap:       func(medlarid.Offset) {},
			OnRead:      func(bool) {},
			OnReadError: func(error) {},
		}, 1)
		wg.Go(func() { fl.Run(ctx) })
	}
}

// assertAllReceived checks that every instance has received records 1 to n in order.
func (f *fleet) assertAllReceived(t *testing.T, n int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.ids {
		if len(f.received[id]) != n {
			t.Fatalf("%s received %d records, want %d", id, len(f.received[id]), n)
		}
		for i, o := range f.received[id] {
			if o != medlarid.Offset(i+1) {
				t.Fatalf("%s received offset %d as record number %d", id, o, i+1)
			}
		}
	}
}

func (f *fleet) count(source string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads[source]
}

// deliveryBound is the time within which every instance must receive a record.
const deliveryBound = 4 * time.Second

// runFleet runs test with a fleet whose followers have been running for a while.
func runFleet(t *testing.T, size int, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		f.follow(ctx, &wg)
		defer wg.Wait()
		defer cancel()
		time.Sleep(15 * time.Second)
		test(f)
	})
}

func TestLogReadsAreBounded(t *testing.T) {
	runFleet(t, 60, func(f *fleet) {
		before := f.count("log")
		for i := range 50 {
			f.log.Append(stream, []byte("x"))
			time.Sleep(deliveryBound)
			f.assertAllReceived(t, i+1)
		}
		if n := f.count("log") - before; n > relaysPerZone*(50+50) {
			t.Errorf("the log was read %d times for 50 records", n)
		}
		t.Logf("60 instances: %d reads from the log, %d from other instances", f.count("log"), f.count("relay"))
	})
}

func TestRecordsArriveDespiteFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fleet)
	}{
		{"a relay is down", func(f *fleet) { f.down[Relays(stream, f.ids)[0]] = true }},
		{"a relay hangs", func(f *fleet) { f.hung[Relays(stream, f.ids)[0]] = true }},
		{"one relay hangs, the other is down", func(f *fleet) {
			f.hung[Relays(stream, f.ids)[0]] = true
			f.down[Relays(stream, f.ids)[1]] = true
		}},
		{"all relays are down", func(f *fleet) {
			for _, id := range Relays(stream, f.ids) {
				f.down[id] = true
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 20, func(f *fleet) {
				f.log.Append(stream, []byte("x"))
				time.Sleep(deliveryBound)
				f.mu.Lock()
				tc.fault(f)
				f.mu.Unlock()
				f.log.Append(stream, []byte("x"))
				time.Sleep(deliveryBound)
				f.assertAllReceived(t, 2)
			})
		})
	}
	t.Run("the log is down for a minute", func(t *testing.T) {
		runFleet(t, 20, func(f *fleet) {
			f.mu.Lock()
			f.logDown = true
			f.mu.Unlock()
			time.Sleep(time.Minute)
			f.mu.Lock()
			f.logDown = false
			f.mu.Unlock()
			f.log.Append(stream, []byte("x"))
			time.Sleep(deliveryBound)
			f.assertAllReceived(t, 1)
		})
	})
}

func TestFanOutIsBounded(t *testing.T) {
	for _, size := range []int{3, 60, 400} {
		f := newFleet(size)
		served := map[medlarid.InstanceID]int{}
		for _, id := range f.ids {
			if s := Sources(stream, id, f.ids); len(s) > 0 {
				served[s[0]]++
			}
		}
		readers := 0
		for id, n := range served {
			readers += n
			if n > fanOut {
				t.Errorf("%s is the parent of %d instances in a zone of %d", id, n, size)
			}
		}
		if readers != size-relaysPerZone {
			t.Errorf("%d of %d instances read from other instances", readers, size)
		}
	}
}

func TestColdReaderGetsOldRecords(t *testing.T) {
	runFleet(t, 5, func(f *fleet) {
		for range cacheRecords * 2 {
			f.log.Append(stream, []byte("x"))
		}
		time.Sleep(deliveryBound)
		f.assertAllReceived(t, cacheRecords*2)
		id := f.ids[0]
		for _, other := range f.ids {
			if other != Relays(stream, f.ids)[0] && other != Relays(stream, f.ids)[1] {
				id = other
			}
		}
		b, err := f.relays[id].Read(1, 10, 0)
		if err != nil || len(b.Records) != 10 || b.Records[0].Offset != 1 {
			t.Errorf("got %+v, %v", b, err)
		}
	})
}

func TestLaggingRelayIsBypassed(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.log.Append(stream, []byte("x"))
		time.Sleep(deliveryBound)
		var child medlarid.InstanceID
		relays := Relays(stream, f.ids)
		for _, id := range f.ids {
			if id != relays[0] && id != relays[1] {
				child = id
			}
		}
		b, err := f.relays[child].Read(9, 10, 0) // both the relays and the log end at offset 2
		if err != nil || b.Next != 2 {
			t.Errorf("got %+v, %v", b, err)
		}
	})
}
