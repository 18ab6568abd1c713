package medlarmemory

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const testBound = 1 << 20

// reserve reserves n bytes, which must succeed.
func reserve(t *testing.T, a *Account, k Kind, n int) *Reservation {
	t.Helper()
	r, err := a.Reserve(k, n)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func assertCause(t *testing.T, err error, want Cause) {
	t.Helper()
	var e *Error
	if errors.As(err, &e); (want == "") != (err == nil) || e != nil && e.Cause != want {
		t.Errorf("got %v, want cause %q", err, want)
	}
}

func assertEmpty(t *testing.T, a *Account) {
	t.Helper()
	for _, k := range Kinds() {
		if n := a.Held(k); n != 0 {
			t.Errorf("%d bytes are held for %s, want none", n, k)
		}
	}
	if a.total != 0 || len(a.unfinished) != 0 {
		t.Errorf("%d bytes and %d unfinished reservations, want none", a.total, len(a.unfinished))
	}
}

// TestBounds guards against peers that together make the process hold more than its bound, and against large requests
// that leave no room for small ones (R1, R3).
func TestBounds(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind Kind
		held int // by requests
		n    int
		want Cause
	}{
		{"free", KindBodies, 0, 1 << 10, ""},
		{"whole bound", KindRequests, testBound - 1<<10, 1 << 10, ""},
		{"above the bound", KindRequests, testBound - 1<<10, 1<<10 + 1, CauseFull},
		{"whole share of a kind", KindHeads, 0, testBound / 4, ""},
		{"above the share of a kind", KindHeads, 0, testBound/4 + 1, CauseFull},
		{"small, beside large ones", KindRequests, testBound * 3 / 4, largeBytes, ""},
		{"large, beside large ones", KindRequests, testBound * 3 / 4, largeBytes + 1, CauseFull},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := New(testBound)
			for rest := tc.held; rest > 0; rest -= min(rest, largeBytes) {
				reserve(t, a, KindRequests, min(rest, largeBytes))
			}
			r, err := a.Reserve(tc.kind, tc.n)
			assertCause(t, err, tc.want)
			if (r == nil) != (err != nil) {
				t.Errorf("reservation %v with error %v", r, err)
			}
		})
	}
}

// TestStalledMakeRoom guards against peers that stall and keep the memory that active ones need, and against active
// ones that are dropped (R4, R5).
func TestStalledMakeRoom(t *testing.T) {
	const half = testBound * 3 / 8 // of the share of bodies
	for _, tc := range []struct {
		name     string
		received int           // by the first reservation before the second one stalls
		wait     time.Duration // after that
		want     [2]bool       // dropped
	}{
		{"both active", 0, stallTime - 3*time.Millisecond, [2]bool{false, false}},
		{"both stalled, the first one longer", 0, stallTime, [2]bool{true, false}},
		{"the first one has received some since", progressBytes, stallTime, [2]bool{false, true}},
		{"the first one has received little since", progressBytes - 1, stallTime, [2]bool{true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(testBound)
				var rs [2]*Reservation
				var told [2]bool
				for i := range rs {
					rs[i] = reserve(t, a, KindBodies, half)
					rs[i].SetUnfinished(func() { told[i] = true })
				}
				time.Sleep(time.Millisecond)
				rs[1].Received(progressBytes)
				time.Sleep(time.Millisecond)
				rs[0].Received(tc.received)
				if tc.received < progressBytes {
					rs[1].Received(progressBytes)
				}
				time.Sleep(tc.wait)
				third, err := a.Reserve(KindBodies, 1<<10)
				if dropped := tc.want[0] || tc.want[1]; (err == nil) != dropped {
					t.Errorf("error %v, want room: %v", err, dropped)
				}
				for i, r := range rs {
					if r.Dropped() != tc.want[i] || told[i] != tc.want[i] {
						t.Errorf("reservation %d: dropped %v, told %v, want %v", i, r.Dropped(), told[i], tc.want[i])
					}
					if tc.want[i] {
						assertCause(t, r.Grow(1), CauseDropped)
						assertCause(t, r.Finish(KindRequests, 1), CauseDropped)
					}
					r.Shrink(0)
					r.Release()
				}
				third.Release()
				assertEmpty(t, a)
			})
		})
	}
}

// TestFinishedStay guards against a request that is dropped although its replica may be running it, and against
// reservations that are dropped to no use (R4).
func TestFinishedStay(t *testing.T) {
	for _, tc := range []struct {
		name   string
		finish bool
		kind   Kind // of which another reservation finds no room
	}{
		{"finished", true, KindBodies},
		{"of another kind, whose share is not full", false, KindHeads},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(testBound)
				reserve(t, a, KindHeads, testBound/4)
				r := reserve(t, a, KindBodies, testBound/2)
				r.SetUnfinished(func() { t.Error("the owner was told that its reservation is dropped") })
				if tc.finish {
					assertCause(t, r.Finish(KindRequests, testBound/2), "")
				}
				time.Sleep(time.Hour)
				_, err := a.Reserve(tc.kind, testBound/4+1)
				assertCause(t, err, CauseFull)
				if r.Dropped() {
					t.Error("the reservation is dropped")
				}
			})
		})
	}
}

// TestNoAccount guards against a crash where nothing is bounded (R7).
func TestNoAccount(t *testing.T) {
	var a *Account
	r := reserve(t, a, KindBodies, testBound)
	r.SetUnfinished(func() {})
	r.Received(testBound)
	r.SetKind(KindStreams)
	r.Shrink(1)
	assertCause(t, r.Grow(testBound), "")
	assertCause(t, r.Move(KindBodies, testBound), "")
	assertCause(t, r.Finish(KindRequests, testBound), "")
	r.Release()
	if r.Dropped() || a.Held(KindBodies) != 0 {
		t.Error("a reservation without an account holds something")
	}
}

// TestAnySequence guards against an account that exceeds its bound, or leaks, by some order of calls (R1, R6).
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(testBound)
		var rs []*Reservation
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			k := Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind"))
			n := rapid.IntRange(0, testBound/3).Draw(t, "bytes")
			op := rapid.IntRange(0, 5).Draw(t, "op")
			if op == 0 || len(rs) == 0 {
				if r, err := a.Reserve(k, n); err == nil {
					r.SetUnfinished(func() {})
					rs = append(rs, r)
				}
				continue
			}
			r := rs[rapid.IntRange(0, len(rs)-1).Draw(t, "reservation")]
			switch op {
			case 1:
				_ = r.Grow(n)
			case 2:
				_ = r.Move(k, n)
			case 3:
				_ = r.Finish(k, n)
			case 4:
				r.Release()
			case 5: // as if it had stalled
				a.mu.Lock()
				r.progress = time.Time{}
				a.mu.Unlock()
			}
			sum := int64(0)
			for _, k := range Kinds() {
				held := a.Held(k)
				sum += held
				if held < 0 || float64(held) > shares[k]*testBound {
					t.Fatalf("%d bytes are held for %s", held, k)
				}
			}
			if sum != a.total || sum > testBound {
				t.Fatalf("%d bytes of all kinds, %d in total, %d allowed", sum, a.total, testBound)
			}
		}
		for _, r := range rs {
			r.Release()
		}
		if a.total != 0 || len(a.unfinished) != 0 {
			t.Fatalf("%d bytes and %d unfinished reservations are left", a.total, len(a.unfinished))
		}
	})
}
