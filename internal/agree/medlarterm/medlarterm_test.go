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

// topic is an in-memory topic of terms.
type topic struct {
	holders       []medlarid.InstanceID
	era           medlarid.Era
	loseResponses bool // appends take effect but return errLost
	reads         int
}

var errLost = errors.New("response lost")

func (tp *topic) elector(self medlarid.InstanceID, suspended func() time.Duration) *Elector {
	return New(self, settle, Deps{
		Append: func(_ context.Context, at medlarid.Offset) (medlarid.Era, error) {
			if int(at) != len(tp.holders) {
				return 0, ErrOffsetMismatch
			}
			tp.holders = append(tp.holders, self)
			if tp.loseResponses {
				return 0, errLost
			}
			return tp.era, nil
		},
		Read: func(_ context.Context, from medlarid.Offset) (Terms, error) {
			tp.reads++
			out := Terms{End: medlarid.Offset(len(tp.holders)), Era: tp.era}
			for i := int(from); i < len(tp.holders); i++ {
				out.Records = append(out.Records, Record{Holder: tp.holders[i], Offset: medlarid.Offset(i)})
			}
			return out, nil
		},
		Suspended: suspended,
	})
}

// rewind makes the store come back from a copy that lacks the last n terms.
func (tp *topic) rewind(n int) {
	tp.holders = tp.holders[:max(len(tp.holders)-n, 0)]
	tp.era++
}

func notSuspended() time.Duration { return 0 }

func acquire(t *testing.T, el *Elector) bool {
	t.Helper()
	ok, err := el.AcquireOrRenew(t.Context())
	if err != nil && !errors.Is(err, errLost) {
		t.Fatal(err)
	}
	return ok
}

func assertAcquire(t *testing.T, el *Elector, want bool) {
	t.Helper()
	if got := acquire(t, el); got != want {
		t.Errorf("AcquireOrRenew of %s returned %v, want %v", el.self, got, want)
	}
}

func TestTerm(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, tp *topic, a, b *Elector)
	}{
		{"empty topic", func(t *testing.T, _ *topic, a, b *Elector) {
			assertAcquire(t, a, true)
			assertAcquire(t, b, false)
		}},
		{"record of another instance expires", func(t *testing.T, _ *topic, a, b *Elector) {
			assertAcquire(t, a, true)
			if err := b.Refresh(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(Term + settle - time.Millisecond)
			assertAcquire(t, b, false)
			time.Sleep(time.Millisecond)
			assertAcquire(t, b, true)
			assertAcquire(t, a, false)
		}},
		{"record of unknown age is treated as new", func(t *testing.T, _ *topic, a, b *Elector) {
			assertAcquire(t, a, true)
			time.Sleep(time.Hour)
			assertAcquire(t, b, false)
		}},
		{"response lost", func(t *testing.T, tp *topic, a, b *Elector) {
			tp.loseResponses = true
			assertAcquire(t, a, false)
			tp.loseResponses = false
			assertAcquire(t, b, false)
			assertAcquire(t, a, true)
		}},
		{"store from a copy without the last term", func(t *testing.T, tp *topic, a, b *Elector) {
			assertAcquire(t, a, true)
			tp.rewind(1)
			assertAcquire(t, b, false) // the term of a is not in the topic any more
			time.Sleep(Term + settle - time.Millisecond)
			assertAcquire(t, b, false)
			time.Sleep(time.Millisecond)
			assertAcquire(t, b, true)
			assertAcquire(t, a, false)
		}},
		{"store from a copy, append at an offset given out again", func(t *testing.T, tp *topic, a, b *Elector) {
			assertAcquire(t, a, true)
			tp.rewind(1)
			tp.holders = append(tp.holders, "c")
			time.Sleep(renewAfter)
			assertAcquire(t, a, false) // its append follows the term of c
			assertAcquire(t, b, false)
		}},
		{"renewal", func(t *testing.T, _ *topic, a, b *Elector) {
			for range 20 {
				assertAcquire(t, a, true)
				assertAcquire(t, b, false)
				time.Sleep(renewAfter)
			}
		}},
		{"reads are limited while another instance holds the duty", func(t *testing.T, tp *topic, a, b *Elector) {
			for range 40 {
				assertAcquire(t, a, true)
				tp.reads = 0
				for range 3 {
					assertAcquire(t, b, false)
					time.Sleep(100 * time.Millisecond)
				}
				if tp.reads > 1 {
					t.Fatalf("topic was read %d times in 0.3 s, want at most once", tp.reads)
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tp := &topic{}
				tc.run(t, tp, tp.elector("a", notSuspended), tp.elector("b", notSuspended))
			})
		})
	}
}

func TestSuspensionEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		el := (&topic{}).elector("a", func() time.Duration { return suspended })
		assertAcquire(t, el, true)
		suspended = time.Second
		if _, ok := el.Fence(); ok {
			t.Error("term is still valid after a suspension")
		}
	})
}

// action is one use of a fencing number by an instance.
type action struct {
	instance medlarid.InstanceID
	fence    uint64
	at       time.Time
}

// TestRandomHistories runs random histories of instances that acquire the duty, act,
// stall, and lose responses of appends, while the store comes back from copies. It checks that fencing numbers never
// decrease, that no two instances use the same one, and that the actions of two
// holders are at least the settling time apart.
func TestRandomHistories(t *testing.T) {
	seeds := uint64(10000)
	if testing.Short() { // used for the run under the race detector
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
	rng := rand.New(rand.NewPCG(seed, seed))
	tp := &topic{}
	electors := []*Elector{tp.elector("a", notSuspended), tp.elector("b", notSuspended), tp.elector("c", notSuspended)}
	stalled := make([]time.Time, len(electors))
	var last action
	for range 200 {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		i := rng.IntN(len(electors))
		if time.Now().Before(stalled[i]) {
			continue
		}
		tp.loseResponses = rng.IntN(5) == 0
		if rng.IntN(30) == 0 {
			tp.rewind(rng.IntN(4))
		}
		if rng.IntN(20) == 0 {
			stalled[i] = time.Now().Add(6 * time.Second)
		}
		acquire(t, electors[i])
		fence, ok := electors[i].Fence()
		if !ok {
			continue
		}
		now := action{instance: electors[i].self, fence: fence, at: time.Now()}
		if now.fence < last.fence || now.instance != last.instance && (now.fence == last.fence || last.instance != "" && now.at.Sub(last.at) < settle) {
			t.Fatalf("action %v must not follow action %v", now, last)
		}
		last = now
	}
}
