package medlarterm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"medlarfield/internal/base/medlarid"
)

const settle = 3 * time.Second

// topic is the topic of the terms in memory.
type topic struct {
	holders []medlarid.InstanceID
	lose    bool // answers of appends are lost
	reads   int
}

var errLost = errors.New("no answer")

func (tp *topic) keeper(self medlarid.InstanceID, suspended func() time.Duration) *Elector {
	return New(self, settle, Dependencies{
		Append: func(_ context.Context, at medlarid.Offset) error {
			if int(at) != len(tp.holders) {
				return ErrOffsetMismatch
			}
			tp.holders = append(tp.holders, self)
			if tp.lose {
				return errLost
			}
			return nil
		},
		Read: func(_ context.Context, from medlarid.Offset) ([]Record, medlarid.Offset, error) {
			tp.reads++
			var out []Record
			for i := int(from); i < len(tp.holders); i++ {
				out = append(out, Record{Holder: tp.holders[i], Offset: medlarid.Offset(i)})
			}
			return out, medlarid.Offset(len(tp.holders)), nil
		},
		Suspended: suspended,
	})
}

func never() time.Duration { return 0 }

func take(t *testing.T, k *Elector) bool {
	t.Helper()
	ok, err := k.AcquireOrRenew(t.Context())
	if err != nil && !errors.Is(err, errLost) {
		t.Fatal(err)
	}
	return ok
}

func assertTakes(t *testing.T, k *Elector, want bool) {
	t.Helper()
	if got := take(t, k); got != want {
		t.Errorf("%s takes the duty: %v, want %v", k.self, got, want)
	}
}

func TestTerm(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, tp *topic, a, b *Elector)
	}{
		{"free topic", func(t *testing.T, _ *topic, a, b *Elector) {
			assertTakes(t, a, true)
			assertTakes(t, b, false)
		}},
		{"old record", func(t *testing.T, _ *topic, a, b *Elector) {
			assertTakes(t, a, true)
			if err := b.Refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(Term + settle - time.Millisecond)
			assertTakes(t, b, false)
			time.Sleep(time.Millisecond)
			assertTakes(t, b, true)
			assertTakes(t, a, false)
		}},
		{"record of unknown age counts as new", func(t *testing.T, _ *topic, a, b *Elector) {
			assertTakes(t, a, true)
			time.Sleep(time.Hour)
			assertTakes(t, b, false)
		}},
		{"answer lost", func(t *testing.T, tp *topic, a, b *Elector) {
			tp.lose = true
			assertTakes(t, a, false)
			tp.lose = false
			assertTakes(t, b, false)
			assertTakes(t, a, true)
		}},
		{"renewal", func(t *testing.T, _ *topic, a, b *Elector) {
			for range 20 {
				assertTakes(t, a, true)
				assertTakes(t, b, false)
				time.Sleep(renewAt)
			}
		}},
		{"few reads while another instance holds it", func(t *testing.T, tp *topic, a, b *Elector) {
			for range 40 {
				assertTakes(t, a, true)
				tp.reads = 0
				for range 3 {
					assertTakes(t, b, false)
					time.Sleep(100 * time.Millisecond)
				}
				if tp.reads > 1 {
					t.Fatalf("%d reads in 0.3 s", tp.reads)
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tp := &topic{}
				tc.run(t, tp, tp.keeper("a", never), tp.keeper("b", never))
			})
		})
	}
}

func TestSuspensionEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		k := (&topic{}).keeper("a", func() time.Duration { return suspended })
		assertTakes(t, k, true)
		suspended = time.Second
		if _, ok := k.Fence(); ok {
			t.Error("the term outlasts a suspension")
		}
	})
}

// action is one use of a fence.
type action struct {
	who   medlarid.InstanceID
	fence uint64
	at    time.Time
}

// TestHistories plays instances that take the duty, act, stall and lose answers.
// Fences rise, none is used by two, and two holders act the settling time apart.
func TestHistories(t *testing.T) {
	seeds := uint64(10000)
	if testing.Short() { // the run under the race detector
		seeds = 1000
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assertHistory(t, seed) })
		})
	}
}

func assertHistory(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, seed))
	tp := &topic{}
	keepers := []*Elector{tp.keeper("a", never), tp.keeper("b", never), tp.keeper("c", never)}
	stalled := make([]time.Time, len(keepers))
	var last action
	for range 200 {
		time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
		i := rnd.IntN(len(keepers))
		if time.Now().Before(stalled[i]) {
			continue
		}
		tp.lose = rnd.IntN(5) == 0
		if rnd.IntN(20) == 0 {
			stalled[i] = time.Now().Add(6 * time.Second)
		}
		take(t, keepers[i])
		fence, ok := keepers[i].Fence()
		if !ok {
			continue
		}
		now := action{who: keepers[i].self, fence: fence, at: time.Now()}
		if now.fence < last.fence || now.who != last.who && (now.fence == last.fence || last.who != "" && now.at.Sub(last.at) < settle) {
			t.Fatalf("%v acts after %v", now, last)
		}
		last = now
	}
}
