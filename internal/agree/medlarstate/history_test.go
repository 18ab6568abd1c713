package medlarstate

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarseed"
)

// histories is the number of generated histories.
const histories = 3000

func TestMain(m *testing.M) { os.Exit(medlarseed.Run(m, histories)) }

// readerModel is one reader; highest is the highest version that it had in force.
type readerModel struct {
	state   *State
	highest medlarid.Offset
}

// historyModel is a log with its readers.
type historyModel struct {
	t       *rapid.T
	log     *log
	readers []*readerModel
	// agreed maps each next offset to the version that the first reader to get there
	// had in force.
	agreed map[medlarid.Offset]medlarid.Offset
}

func (m *historyModel) reader() *readerModel {
	return m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(m.t, "reader")]
}

// read makes a reader apply up to count records.
func (m *historyModel) read(r *readerModel, count int) {
	for ; count > 0 && r.state.View().NextOffset < m.log.next(); count-- {
		if r.state.View().NextOffset < m.log.first {
			r.state.Restart(m.log.first)
		}
		if err := r.state.Apply(m.log.records[r.state.View().NextOffset-m.log.first]); err != nil {
			m.t.Fatal(err)
		}
		m.check(r)
	}
}

// check checks that a reader's version never decreases and that all readers have
// the same version in force at the same offset.
func (m *historyModel) check(r *readerModel) {
	v := r.state.View()
	if v.Version < r.highest {
		m.t.Fatalf("a reader's version decreased from %d to %d", r.highest, v.Version)
	}
	r.highest = v.Version
	if !v.Ready {
		return
	}
	if want, ok := m.agreed[v.NextOffset]; ok && want != v.Version {
		m.t.Fatalf("before offset %d one reader has version %d in force, another %d", v.NextOffset, want, v.Version)
	}
	m.agreed[v.NextOffset] = v.Version
}

func (m *historyModel) step() {
	switch rapid.SampledFrom([]string{"publish", "publish", "read", "read", "read", "repeat", "snapshot", "expire", "new"}).Draw(m.t, "step") {
	case "publish": // based on the version of any reader, which may be out of date
		if v := m.reader().state.View(); v.Ready {
			c := planChange(rapid.SampledFrom([]string{"p", "q"}).Draw(m.t, "plan"), rapid.IntRange(1, 9).Draw(m.t, "rate"))
			m.log.put(publicationOn(m.log.t, v.Version, v.Lists, c), medlarid.NewRecordID(), "a")
		}
	case "read":
		m.read(m.reader(), rapid.IntRange(1, 6).Draw(m.t, "count"))
	case "repeat":
		if n := len(m.log.records); n > 0 {
			m.log.add(m.log.records[rapid.IntRange(0, n-1).Draw(m.t, "record")].Data)
		}
	case "snapshot":
		if v := m.reader().state.View(); v.Ready && v.Version > 0 {
			m.log.snapshot(v, rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "author"))
		}
	case "expire":
		if n := len(m.log.records); n > 8 {
			m.log.expire(n - 8)
		}
	case "new":
		m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(m.t, "replaced")] = &readerModel{state: New()}
	}
}

func TestRandomHistories(t *testing.T) {
	ready := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := &historyModel{t: rt, log: newLog(t), agreed: map[medlarid.Offset]medlarid.Offset{}}
		for range 3 {
			m.readers = append(m.readers, &readerModel{state: New()})
		}
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			m.step()
		}
		for _, r := range m.readers {
			m.read(r, len(m.log.records)+1)
			if v := r.state.View(); v.Ready && v.Version > 0 {
				ready++
			}
		}
	})
	if ready < 100 {
		t.Errorf("only %d readers had lists at the end", ready)
	}
}
