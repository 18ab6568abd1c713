package medlarreach

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlarfield/internal/base/medlarid"
)

// clocked is a table with a clock, on which requests are sent to replicas and answered.
type clocked struct {
	*Table
	now time.Time
}

func newClocked() *clocked { return &clocked{newTable(peers...), start} }

func (b *clocked) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *clocked) sendTo(ids ...medlarid.InstanceID) {
	for _, id := range ids {
		b.Sent(b.now, id)
	}
}

func (b *clocked) answer(id medlarid.InstanceID) { b.Got(b.now, start, id, true) }

func (b *clocked) assertSuspects(t *testing.T, what string, want ...medlarid.InstanceID) {
	t.Helper()
	got, _ := b.Suspects(b.now)
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("suspected %s:\n%s", what, d)
	}
}

// TestSuspects guards against a path without answers that is not suspected, and against calls to replicas that are
// merely as slow as they usually are.
func TestSuspects(t *testing.T) {
	t.Run("silent replica", func(t *testing.T) {
		b := newClocked()
		b.sendTo("r1")
		b.pass(minPathSilence - 1)
		b.assertSuspects(t, "too early")
		b.pass(1)
		b.assertSuspects(t, "for silence", "r1")
		b.assertSuspects(t, "twice")
	})
	t.Run("slow replica", func(t *testing.T) {
		b := newClocked()
		b.sendTo("r1", "r2")
		b.pass(2 * time.Second)
		b.answer("r1")
		b.pass(2*time.Second - 1)
		b.assertSuspects(t, "too early, as another one was slow")
		b.pass(1)
		b.assertSuspects(t, "for twice that", "r2")
	})
	t.Run("other answers of the replica", func(t *testing.T) {
		b := newClocked()
		b.sendTo("r1", "r1", "r1")
		for range 2 {
			b.pass(minPathSilence - 1)
			b.answer("r1")
		}
		b.assertSuspects(t, "though it answers")
	})
	t.Run("answers that come too late", func(t *testing.T) {
		b := newClocked()
		b.sendTo("r1", "r2")
		b.Left("r1", Unanswered)
		b.assertSuspects(t, "for one")
		b.answer("r2")
		b.sendTo("r1")
		b.Left("r1", Unanswered)
		b.assertSuspects(t, "for two", "r1")
	})
	t.Run("all slow replicas at once", func(t *testing.T) {
		b := newClocked()
		ids := []medlarid.InstanceID{"r1", "r2", "r3", "r4"}
		for _, id := range ids { // one by one, which is too few to tell what is usual for all
			b.sendTo(id)
			b.pass(3 * time.Second)
			b.answer(id)
		}
		b.sendTo(ids[:2]...)
		b.pass(minSilence)
		b.assertSuspects(t, "of two")
		b.sendTo("r1", ids[2], ids[3])
		b.answer("r1")
		b.pass(minSilence)
		b.assertSuspects(t, "one at first", "r1")
	})
	t.Run("new connection that ended", func(t *testing.T) {
		b := newClocked()
		b.sendTo("r1", "r2")
		b.answer("r2")
		b.Left("r1", Ended)
		b.Left("r2", Ended)
		b.assertSuspects(t, "unless it has answered lately", "r1")
	})
	t.Run("caller that left", func(t *testing.T) {
		b := newClocked()
		b.sendTo("r1")
		b.Left("r1", "")
		b.pass(time.Minute)
		b.assertSuspects(t, "nothing is awaited")
	})
}

// TestExamined guards against a path that is taken for broken though an answer has arrived over it, or though no other
// instance gets one.
func TestExamined(t *testing.T) {
	for _, tc := range []struct {
		name   string
		by     medlarid.InstanceID
		direct Outcome
		got    bool // a byte came meanwhile
		broken bool
		keeps  bool // open connections are used
	}{
		{"unanswered, another instance is answered", "p1", Unanswered, false, true, false},
		{"ended, another instance is answered", "p1", Ended, false, true, true},
		{"unanswered, no other instance is", "", Unanswered, false, false, true},
		{"answered on another connection meanwhile", "p1", Unanswered, true, false, true},
		{"answered", "", Answered, true, false, true},
		{"failed here", "p1", "failed", false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newClocked()
			b.sendTo("r1")
			b.pass(minPathSilence)
			b.assertSuspects(t, "for silence", "r1")
			b.pass(time.Millisecond)
			if tc.got {
				b.answer("r1")
			}
			b.Examined(b.now, "r1", tc.by, tc.direct)
			if b.Works("r1") == tc.broken || b.KeepsOpen("r1") != tc.keeps {
				t.Errorf("works %v, keeps open connections %v", b.Works("r1"), b.KeepsOpen("r1"))
			}
		})
	}
}
