package medlarsuspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
)

// whole returns the traits of the request with a name, and its parts.
func whole(name string, parts ...Trait) []Trait {
	return append(parts, Trait(requestPrefix+name), Trait(contentPrefix+name))
}

// TestBlameOfRequests guards against a request that crashes replicas and is not blocked, and against
// others that are blocked in its place.
func TestBlameOfRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(*bench)
		want []Trait
	}{
		{"two crashes block nothing", func(b *bench) { b.crashes(2, whole("x")...) }, nil},
		{"three crashes within a moment", func(b *bench) {
			for range 3 {
				b.advance(20 * time.Millisecond)
				b.crash(whole("x")...)
			}
			b.advance(objectionDelay)
		}, []Trait{"request-x"}},
		{"among sound requests of the same service that are lost with it", func(b *bench) {
			for n := range 3 {
				b.crashes(1, append(whole("x"), whole(fmt.Sprint("sound", n))...)...)
			}
		}, []Trait{"request-x"}},
		{"a sound request that is sent again, and answered in between", func(b *bench) {
			for range 4 {
				b.crashes(1, append(whole("x"), whole("sound")...)...)
				b.answer(whole("sound")...)
			}
		}, []Trait{"request-x"}},
		{"a sound request that is always the same, and answered shortly before", func(b *bench) {
			for range 5 {
				b.answer(whole("sound")...)
				b.crashes(1, whole("sound")...)
			}
		}, nil},
		{"a request before its parts, which nobody else has", func(b *bench) { b.crashes(3, whole("x", "own", "other")...) }, []Trait{"request-x"}},
		{"a part, if the requests differ", func(b *bench) {
			for n := range 3 {
				b.crashes(1, whole(fmt.Sprint(n), "x")...)
			}
		}, []Trait{"x"}},
		{"a part that crashes replicas in one more request", func(b *bench) {
			b.crashes(3, whole("first", "x")...)
			b.crashes(1, whole("second", "x")...)
			b.advance(objectionDelay)
		}, []Trait{"request-first", "x"}},
		{"a content whose requests differ in the rest", func(b *bench) {
			for n := range 3 {
				b.answer("shared")
				b.crashes(1, "shared", Trait(fmt.Sprint(requestPrefix, n)), "content-x")
				b.answer("shared")
			}
		}, []Trait{"content-x"}},
		{"a request that waited, beside prompts that had begun", func(b *bench) {
			for n := range 3 {
				b.advance(time.Second)
				b.report(n, true, whole(fmt.Sprint("sound", n), "part"), whole("x"))
				b.answer("part")
			}
			b.advance(objectionDelay)
		}, []Trait{"request-x"}},
		{"two requests that crash replicas in turn", func(b *bench) {
			for range 3 {
				b.crashes(1, whole("x", "shared")...)
				b.answer("shared")
				b.crashes(1, whole("y", "shared")...)
				b.answer("shared")
			}
		}, []Trait{"request-x", "request-y"}},
		{"a request beside a sound one that was lost with it three times", func(b *bench) {
			b.crashes(2, append(whole("x"), whole("sound")...)...)
			b.crashes(1, whole("sound")...)
			b.crashes(2, whole("x")...)
		}, []Trait{"request-sound", "request-x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			tc.do(b)
			b.assertBlocked(tc.want...)
		})
	}
}

// TestRequestsDoNotDisplaceParts guards against parts whose answers are forgotten since there are so
// many different requests.
func TestRequestsDoNotDisplaceParts(t *testing.T) {
	b := newBench(t)
	b.answer("shared")
	for n := range 2 * maxAnswered {
		b.answer(whole(fmt.Sprint(n))...)
	}
	b.crashes(3, "x", "shared")
	b.assertBlocked("x")
	if n := len(b.table.whole.at); n > maxAnswered {
		t.Errorf("%d answers to whole requests are remembered, want %d at most", n, maxAnswered)
	}
}

// TestInstanceLearnsOfCrashesAtOnce guards against a request that is let go on by an instance that reads all
// reports at once, since the store was away.
func TestInstanceLearnsOfCrashesAtOnce(t *testing.T) {
	b := newBench(t)
	for n := range 3 {
		b.report(n, false, whole("x"), nil)
	}
	b.advance(objectionDelay)
	b.assertBlocked("request-x")
}

// TestRequestIsTriedLikeAPart guards against trials of a request beyond those of a part.
func TestRequestIsTriedLikeAPart(t *testing.T) {
	b := newBench(t)
	b.crashes(3, whole("x")...)
	b.table.TakeRecords()
	b.advance(trialDelays[0])
	if _, ok := b.table.Admit(b.now, whole("x")); ok {
		t.Error("a request goes on without a trial")
	}
	want := []Record{{Trait: "request-x", Block: Block{Trials: 1}, Claim: true}}
	if d := cmp.Diff(want, b.table.TakeRecords()); d != "" {
		t.Errorf("records:\n%s", d)
	}
}

// TestCrashesBeforeTheStart guards against a sound request that is refused for long after all instances have
// started again: none of them knows that it was answered since.
func TestCrashesBeforeTheStart(t *testing.T) {
	earlier := func(b *bench, crashes int, traits ...Trait) {
		for range crashes {
			b.last++
			id := CrashID{Replica: medlarid.InstanceID(fmt.Sprint("r", b.last)), Incarnation: 1}
			b.table.AddReport(b.now, Report{Crash: id, Begun: traits, Earlier: true}, false)
			b.advance(sameMoment)
		}
		b.advance(objectionDelay)
	}
	for _, tc := range []struct {
		name string
		do   func(*bench)
		want []Trait
	}{
		{"of requests with the same path, account and body", func(b *bench) { earlier(b, 60, "content-x") }, nil},
		{"of a request that was sent again", func(b *bench) { earlier(b, 60, whole("x")...) }, nil},
		{"of a part, read within more than a moment", func(b *bench) { earlier(b, 60, "x") }, nil},
		{"and one since", func(b *bench) { earlier(b, 60, whole("x")...); b.crashes(1, whole("x")...) }, nil},
		{"and two since", func(b *bench) { earlier(b, 1, whole("x")...); b.crashes(2, whole("x")...) }, []Trait{"request-x"}},
		{"and an answer since", func(b *bench) {
			earlier(b, 60, whole("x")...)
			b.answer(whole("x")...)
			b.advance(clearingLead)
			b.crashes(2, whole("x")...)
		}, nil},
		{"of a request that is blocked", func(b *bench) {
			earlier(b, 3, whole("x")...)
			b.table.ApplyBlock(b.now, "request-x", Block{})
			b.advance(objectionDelay)
		}, []Trait{"request-x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			tc.do(b)
			b.assertBlocked(tc.want...)
		})
	}
}
