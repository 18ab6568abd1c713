package medlarreader

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
)

const testStore = medlarid.InstanceID("kv-1")

// fleetOf returns instances that are spread over zones in turn, sorted by id.
func fleetOf(n, zones int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{ID: medlarid.InstanceID(fmt.Sprintf("entry-%03d", i)), Zone: medlarid.Zone(fmt.Sprint("z", i%zones)), Start: 1})
	}
	return out
}

// tableOf returns the table of one instance of a fleet.
func tableOf(fleet []Instance, i int, stores ...medlarid.InstanceID) *Table {
	t := New(fleet[i].ID, fleet[i].Zone)
	t.SetFleet(append(append([]Instance{}, fleet[:i]...), fleet[i+1:]...))
	t.SetStores(stores)
	return t
}

// TestReadersOfFleets guards against stores with more readers than places, and against zones without a reader.
func TestReadersOfFleets(t *testing.T) {
	for _, tc := range []struct{ instances, zones, want int }{
		{1, 1, 1},
		{12, 3, 12},
		{13, 1, 2},
		{13, 3, 6},
		{36, 3, 6},
		{143, 3, 6},
		{400, 4, 8},
		{400, 5, 5},
		{400, 8, 8},
	} {
		t.Run(fmt.Sprintf("%d instances in %d zones", tc.instances, tc.zones), func(t *testing.T) {
			fleet := fleetOf(tc.instances, tc.zones)
			readers := 0
			zones := map[medlarid.Zone]bool{}
			targets := map[medlarid.InstanceID]bool{}
			for i := range fleet {
				p := tableOf(fleet, i, testStore).Plan(time.Now())
				if p.Direct[testStore] {
					readers++
					zones[fleet[i].Zone] = true
				}
				for id := range p.Subscribe {
					targets[id] = true
				}
			}
			if readers != tc.want || len(zones) != min(tc.zones, tc.instances) {
				t.Errorf("%d readers in %d zones, want %d in %d", readers, len(zones), tc.want, tc.zones)
			}
			if len(targets) > tc.want {
				t.Errorf("%d instances are asked, want %d at most", len(targets), tc.want)
			}
		})
	}
}

// subscribed returns a table of an instance that does not read the store, with the first reader and the time.
func subscribed(t *testing.T) (table *Table, reader medlarid.InstanceID, now time.Time) {
	t.Helper()
	fleet := fleetOf(20, 1)
	now = time.Now()
	for i := range fleet {
		table = tableOf(fleet, i, testStore)
		p := table.Plan(now)
		if len(p.Subscribe) == 1 && table.stores[testStore].ranking[4] == table.self {
			return table, only(t, p), now
		}
	}
	t.Fatal("no instance has the fifth rank")
	return nil, "", now
}

// only returns the only instance that a plan subscribes to.
func only(t *testing.T, p Plan) medlarid.InstanceID {
	t.Helper()
	if len(p.Subscribe) != 1 || len(p.Direct) != 0 {
		t.Fatalf("plan is %v, want one subscription", p)
	}
	for id := range p.Subscribe {
		return id
	}
	return ""
}

// pass plans in steps for a time, while all that are asked but some are heard of. It returns the last plan.
func (t *Table) pass(now *time.Time, d time.Duration, silent ...medlarid.InstanceID) Plan {
	var p Plan
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(50 * time.Millisecond)
		p = t.Plan(*now)
		for id := range p.Subscribe {
			quiet := false
			for _, s := range silent {
				quiet = quiet || s == id
			}
			if !quiet {
				t.Heard(*now, id)
				t.Dated(*now, id, testStore)
			}
		}
	}
	return p
}

// TestSilentReaderIsReplaced guards against an instance that goes on with a reader which is silent, or gives up one that is
// not.
func TestSilentReaderIsReplaced(t *testing.T) {
	table, first, now := subscribed(t)
	if got := only(t, table.pass(&now, 5*time.Second)); got != first {
		t.Fatalf("%s is replaced by %s without a cause", first, got)
	}
	table.Deliver(first, testStore)
	table.pass(&now, SilentAfter-50*time.Millisecond, first)
	if table.stores[testStore].target != first {
		t.Fatal("the reader is replaced too early")
	}
	p := table.pass(&now, 100*time.Millisecond, first)
	second := only(t, p)
	if second == first {
		t.Fatal("the silent reader is not replaced")
	}
	if table.Source(testStore) != first {
		t.Error("the source changes before the next one has delivered the contents")
	}
	if !table.Deliver(second, testStore) || table.Source(testStore) != second {
		t.Error("the next reader does not become the source")
	}
}

// TestSilentReaderIsTriedAgain guards against readers that are never used again, and against tries at a high rate.
func TestSilentReaderIsTriedAgain(t *testing.T) {
	table, first, now := subscribed(t)
	table.Failed(now, first)
	tries := 0
	for end := now.Add(time.Minute); now.Before(end); {
		p := table.pass(&now, 50*time.Millisecond, first)
		if stores, ok := p.Subscribe[first]; ok {
			if len(stores) > 0 {
				t.Fatal("the silent reader is the target again")
			}
			tries++
			table.Failed(now, first)
		}
	}
	if tries < 4 || tries > 7 {
		t.Errorf("%d tries in a minute, want 4 to 7", tries)
	}
	table.Heard(now, first)
	if table.peers[first].silent {
		t.Error("the reader still counts as silent after a message")
	}
}

// TestOwnPauseIsNoSilence guards against an instance that stood still and takes all readers for silent afterwards.
func TestOwnPauseIsNoSilence(t *testing.T) {
	table, first, now := subscribed(t)
	table.pass(&now, time.Second)
	now = now.Add(3 * time.Second)
	if got := only(t, table.Plan(now)); got != first {
		t.Errorf("%s is replaced by %s after a pause of the instance itself", first, got)
	}
	table.pass(&now, SilentAfter+50*time.Millisecond, first)
	if table.stores[testStore].target == first {
		t.Error("the reader is not replaced although it stays silent after the pause")
	}
}

// TestAllReadersSilent guards against an instance without contents whose zone does not answer.
func TestAllReadersSilent(t *testing.T) {
	table, _, now := subscribed(t)
	for range maxSilent + 2 {
		for id := range table.Plan(now).Subscribe {
			table.Failed(now, id)
		}
	}
	if !table.Plan(now).Direct[testStore] {
		t.Error("the store is not read")
	}
}

// TestAbsentReaders guards against an instance that waits for readers which do not read the store, such as those that
// know another fleet.
func TestAbsentReaders(t *testing.T) {
	table, first, now := subscribed(t)
	table.Absent(now, first, testStore)
	if got := only(t, table.Plan(now)); got == first {
		t.Fatal("the reader that does not read the store is not left aside")
	}
	for _, id := range table.stores[testStore].ranking[:maxCandidates] {
		table.Absent(now, id, testStore)
	}
	if !table.Plan(now).Direct[testStore] {
		t.Error("the store is not read although no reader reads it")
	}
	table.Deliver(table.self, testStore)
	if p := table.pass(&now, 2*absentFor); !p.Direct[testStore] || len(p.Subscribe) != 1 {
		t.Errorf("plan is %v, want that the store is read until a reader that is tried again has delivered the contents", p)
	}
}

// TestReaderThatAnswersWithoutContents guards against an instance that stays with a reader that answers, but has no recent
// contents.
func TestReaderThatAnswersWithoutContents(t *testing.T) {
	table, first, now := subscribed(t)
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		table.Plan(now)
		table.Heard(now, first)
	}
	if got := only(t, table.Plan(now)); got == first {
		t.Error("the reader is not left aside")
	}
}

// TestStoreThatIsDown guards against a whole fleet that calls a store which is down.
func TestStoreThatIsDown(t *testing.T) {
	fleet := fleetOf(40, 1)
	direct := 0
	for i := range fleet {
		table := tableOf(fleet, i, testStore)
		now := time.Now()
		var p Plan
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			p = table.Plan(now)
			for id := range p.Subscribe {
				table.Heard(now, id)
				table.Unavailable(id, testStore)
			}
		}
		if p.Direct[testStore] {
			direct++
		}
	}
	if direct > maxCandidates {
		t.Errorf("%d instances call a store that is down, want %d at most", direct, maxCandidates)
	}
}

// TestDirectReadingGoesOnUntilDelivery guards against contents that no one reads while the readers change.
func TestDirectReadingGoesOnUntilDelivery(t *testing.T) {
	fleet := fleetOf(12, 1)
	now := time.Now()
	for i := range fleet {
		table := tableOf(fleet, i, testStore)
		table.Plan(now)
		table.Deliver(table.self, testStore)
		table.SetFleet(append(append([]Instance{}, fleet[:i]...), append(append([]Instance{}, fleet[i+1:]...), fleetOf(20, 1)[12:]...)...))
		p := table.Plan(now)
		if !p.Direct[testStore] {
			t.Errorf("%s stops to read before another one has delivered the contents", table.self)
		}
		for id := range p.Subscribe {
			table.Deliver(id, testStore)
			if table.Plan(now).Direct[testStore] {
				t.Errorf("%s reads on", table.self)
			}
		}
	}
}

// TestReaderThatStartsAgain guards against a reader that is not used for long because its earlier process was silent.
func TestReaderThatStartsAgain(t *testing.T) {
	table, first, now := subscribed(t)
	table.Failed(now, first)
	others := append([]Instance{}, table.others...)
	for i := range others {
		if others[i].ID == first {
			others[i].Start++
		}
	}
	table.SetFleet(others)
	if table.peers[first].silent {
		t.Error("the reader counts as silent after it has started again")
	}
}
