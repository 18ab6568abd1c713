package medlarregistry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/agree/medlarfeed"
	"medlarfield/internal/core/medlarplacement"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarpool"
)

// Replicas of lapses, and how many of them lapse: their entries are removed, and they run on.
const (
	lapseReplicas = 12
	lapsed        = 4
)

// lapse plays one instance that frees parts of version 1 and one that fetches them. Some replicas lapse before
// version 2 is named, get no orders, and serve the instance that fetches, which is cut off from the store.
type lapse struct {
	t       *testing.T
	freeing *Registry
	fetcher *medlarworld.World
	run     *medlarworld.Run
}

func newLapse(t *testing.T) *lapse {
	l := &lapse{t: t, fetcher: medlarworld.New(medlarworld.Config{}), run: &medlarworld.Run{Model: "m"}}
	l.freeing = New(zerolog.Nop(), medlarpool.NewDirect(), func(medlarworld.Event) {}, ignoreMalformed)
	for i := range lapseReplicas {
		l.entry(i, 1)
		l.fetcher.Engines["m"] = append(l.fetcher.Engines["m"], &medlarupstream.Upstream{Model: "m", Version: "1", ListedAt: time.Now()})
	}
	l.fetcher.Models["m"] = medlarworld.Model{ID: "m", Version: "1"}
	return l
}

func lapseID(i int) string { return fmt.Sprint("r-", i) }

func (l *lapse) entry(i, version int) {
	value := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.%d:1","MaxBatchSize":4,"Phase":"ready","Models":[{"Name":"m","Version":%d}],"born":7}`, i, version)
	l.freeing.ApplyReplicaEntries([]medlarfeed.Record{{Key: lapseID(i), Value: value}}, true)
}

func (l *lapse) remove(i int) {
	l.freeing.ApplyReplicaEntries([]medlarfeed.Record{{Key: lapseID(i), Removed: true}}, false)
}

// follow lets the freeing instance read the store for a time, and the fetching one too until it is cut off.
func (l *lapse) follow(d time.Duration, cut bool, each func()) {
	for range d / (100 * time.Millisecond) {
		now := time.Now()
		l.freeing.ReplicasCurrent(now)
		if !cut {
			l.fetcher.RecordsAsOf, l.fetcher.ReplicasAsOf = now, now
		}
		l.fetcher.Now = now
		each()
		time.Sleep(100 * time.Millisecond)
	}
}

// fetches reports whether the instance fetches parts of version 1, while the lapsed replicas answer it.
func (l *lapse) fetches() bool {
	for i, u := range l.fetcher.Engines["m"] {
		if i < lapsed {
			u.ConfirmedAt = time.Now()
		} else {
			u.Version = "2" // as an answer told
		}
	}
	return medlarplacement.Fetchable(l.fetcher, l.run, "1")
}

// TestPartsOfLapsedReplicasAreNotFreedInUse guards against parts that one instance frees, as all replicas that it knows run a
// later version, while another one fetches them for replicas whose entries have lapsed (MIXED).
func TestPartsOfLapsedReplicasAreNotFreedInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLapse(t)
		l.follow(2*medlarplacement.DepartedTTL, false, func() {})
		for i := range lapsed {
			l.remove(i)
		}
		setDesired(l.freeing, 2)
		named := time.Now()
		for i := lapsed; i < lapseReplicas; i++ {
			l.entry(i, 2)
		}
		var fetched, freed time.Time
		l.follow(time.Minute, true, func() {
			if l.fetches() {
				fetched = time.Now()
			}
			if freed.IsZero() && time.Since(named) > medlarplacement.FreeDelay && l.freeing.PartsUnused("m", "1") {
				freed = time.Now()
			}
		})
		if freed.IsZero() {
			t.Error("parts are never freed")
		}
		if !fetched.After(named) {
			t.Error("parts are not fetched for the lapsed replicas")
		}
		if d := freed.Sub(fetched); d < time.Second {
			t.Errorf("parts are freed %v after the last fetch began, want a second at least", d)
		}
	})
}

// TestLapsedReplicasCount guards against replicas that run on without an entry, and do not count among those that
// have to run a later version before parts are freed.
func TestLapsedReplicasCount(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps func(*lapse)
		want  bool
	}{
		{"lapsed with the older version", func(l *lapse) {
			for i := range lapsed {
				l.remove(i)
			}
		}, false},
		{"lapsed long ago", func(l *lapse) {
			for i := range lapsed {
				l.remove(i)
			}
			time.Sleep(medlarplacement.DepartedTTL)
		}, true},
		{"lapsed with the later version", func(l *lapse) {
			for i := range lapsed {
				l.entry(i, 2)
				l.remove(i)
			}
		}, true},
		{"back with the later version", func(l *lapse) {
			for i := range lapsed {
				l.remove(i)
				l.entry(i, 2)
			}
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLapse(t)
				for i := lapsed; i < lapseReplicas; i++ {
					l.entry(i, 2)
				}
				tc.steps(l)
				time.Sleep(medlarplacement.SwapDelay + time.Millisecond)
				if got := l.freeing.MostReplicasPast("m", "1", medlarplacement.SwapDelay); got != tc.want {
					t.Errorf("most replicas past version 1: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestPartsUnusedOnlyIfListIsKnown guards against parts that are freed by an instance that does not know which replicas others may
// use: it has started, or has not read the list for some time.
func TestPartsUnusedOnlyIfListIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLapse(t)
		for i := range lapseReplicas {
			l.entry(i, 2)
		}
		assert := func(when string, want bool) {
			t.Helper()
			if got := l.freeing.PartsUnused("m", "1"); got != want {
				t.Errorf("%s: parts unused: %v, want %v", when, got, want)
			}
		}
		l.follow(medlarplacement.DepartedTTL-time.Second, false, func() {})
		assert("soon after the start", false)
		l.follow(2*time.Second, false, func() {})
		assert("later", true)
		time.Sleep(medlarplacement.MaxListAge)
		assert("without a read", false)
		l.follow(time.Second, false, func() {})
		assert("after a read", true)
	})
}

// TestPartsAreNotFreedWhereListsDiffer guards against parts that one instance frees while another one fetches them, as replicas
// with the later version have joined or left and the two count shares of different lists (MIXED).
func TestPartsAreNotFreedWhereListsDiffer(t *testing.T) {
	for _, tc := range []struct {
		name         string
		older        int // replicas that still run version 1
		joined, left int // replicas that run version 2
		cut          bool
	}{
		{"many have joined that the cut instance does not know", 3, 6, 0, true},
		{"twice as many have joined", 6, 24, 0, true},
		{"some have left", 2, 0, 3, false},
		{"most have left", 1, 0, 8, false},
		{"some have left, and as many have joined that the cut instance does not know", 2, 6, 6, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLapse(t)
				l.follow(2*medlarplacement.DepartedTTL, false, func() {})
				setDesired(l.freeing, 2)
				for i := tc.older; i < lapseReplicas; i++ {
					l.entry(i, 2)
				}
				l.follow(time.Second, tc.cut, func() {})
				for i := range tc.joined {
					l.entry(lapseReplicas+i, 2)
				}
				for i := range tc.left {
					l.remove(lapseReplicas - 1 - i)
				}
				l.fetcher.Engines["m"] = l.fetcher.Engines["m"][:lapseReplicas-tc.left]
				var fetched time.Time
				fetches := 0
				l.follow(2*medlarplacement.DepartedTTL, tc.cut, func() {
					for i, u := range l.fetcher.Engines["m"] {
						if u.Version = "2"; i < tc.older {
							u.Version, u.ConfirmedAt = "1", time.Now()
						}
					}
					if medlarplacement.Fetchable(l.fetcher, l.run, "1") {
						fetched = time.Now()
						fetches++
					}
					if d := time.Since(fetched); d < time.Second && l.freeing.PartsUnused("m", "1") && !t.Failed() {
						t.Errorf("parts are freed %v after a fetch began, want a second at least", d)
					}
				})
				if fetches == 0 {
					t.Error("parts are not fetched for the replicas with the older version")
				}
			})
		})
	}
}
