package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarhistory"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// oldGrace is OldVersionGrace of the harness, from the change of the weights to the last answer that may begin on older ones.
const oldGrace = 5 * time.Second

// TestOlderWeightsBeginInTime guards against requests that are sent in time, but begin on replaced weights too late.
func TestOlderWeightsBeginInTime(t *testing.T) {
	for _, tc := range []struct {
		name         string
		prompt       int           // tokens; 80,000 take a second
		before       time.Duration // the end of the grace period
		pending      int           // tokens of requests of other instances that wait there
		withdrawable bool
		want         bool
	}{
		{"long before the end", 1000, 3 * time.Second, 0, false, true},
		{"may be withdrawn", 1000, 500 * time.Millisecond, 0, true, true},
		{"may not be withdrawn", 1000, 500 * time.Millisecond, 0, false, false},
		{"may not be withdrawn, earlier", 1000, 1200 * time.Millisecond, 0, false, true},
		{"long prompt", 64000, time.Second, 0, true, false},
		{"long prompt, earlier", 64000, 1400 * time.Millisecond, 0, true, true},
		{"others wait there", 1000, 700 * time.Millisecond, 35000, true, false},
		{"others wait there, earlier", 1000, time.Second, 35000, true, true},
		{"just before the end", 1000, 20 * time.Millisecond, 0, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 1, nil)
			p.setVersion("2")
			p.now = p.now.Add(oldGrace - tc.before)
			for _, u := range p.core.World().Upstreams {
				u.PeerPending = medlarid.Tokens(tc.pending)
			}
			r := p.newRun(300, tc.prompt-300)
			r.Resumes = tc.withdrawable
			if s := p.submit(r); (s != nil) != tc.want {
				t.Errorf("started %+v, want a start: %v", s, tc.want)
			}
		})
	}
}

// withdrawn returns the runs that commands withdraw.
func withdrawn(cs []medlarworld.Command) (ids []medlarid.RequestID) {
	for _, c := range cs {
		if c, ok := c.(medlarworld.Withdraw); ok {
			ids = append(ids, c.Run)
		}
	}
	return ids
}

// advance ticks for some time and returns the runs that were withdrawn.
func (p *partsHarness) advance(d time.Duration) (ids []medlarid.RequestID) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(10 * time.Millisecond)
		ids = append(ids, withdrawn(p.tick())...)
	}
	return ids
}

// TestLateStartsAreWithdrawn guards against requests that wait at a replica when older weights end, and begin on them afterwards.
func TestLateStartsAreWithdrawn(t *testing.T) {
	start := func(p *partsHarness, withdrawable bool) (*medlarworld.Run, *medlarworld.StartAttempt) {
		t.Helper()
		r := p.newRun(500, 300)
		r.DesiredVersion, r.Resumes = "2", withdrawable
		r.Deadline = p.now.Add(20 * time.Second)
		s := p.submit(r)
		if s == nil || s.Version != "1" {
			t.Fatalf("started %+v, want a start under version 1", s)
		}
		return r, s
	}
	t.Run("goes on at a replica with newer weights", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		r, s := start(p, true) // before the weights are replaced
		p.setVersion("2")
		if ids := p.advance(oldGrace); len(ids) != 0 {
			t.Fatalf("withdrawn before the end: %v", ids)
		}
		if ids := p.advance(time.Second); len(ids) != 1 || ids[0] != r.ID {
			t.Fatalf("withdrawn: %v, want %s once", ids, r.ID)
		}
		other := 1
		if s.Upstream == "e01" {
			other = 0
		}
		members := []medlarupstream.Member{engineMember(1-other, "1"), engineMember(other, "2")}
		p.tick(medlarworld.InstancesListed{Members: members})
		p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Outdated, Reached: true})
		p.now = p.now.Add(50 * time.Millisecond)
		if next := startOf(p.tick()); next == nil || next.Run != r.ID || next.Version != "2" {
			t.Errorf("started %+v, want a start under version 2", next)
		}
	})
	t.Run("is refused as possibly run if it has no further attempt", func(t *testing.T) {
		p := newPartsHarness(t, 1, nil)
		p.setVersion("2")
		p.advance(2 * time.Second)
		r, s := start(p, true)
		r.MaxAttempts = 1
		p.advance(oldGrace)
		for _, c := range p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Outdated, Reached: true}) {
			if c, ok := c.(medlarworld.Refuse); ok {
				if c.Ran != medlarreason.RanUnknown {
					t.Errorf("refused as run: %s, want unknown", c.Ran)
				}
				return
			}
		}
		t.Error("not refused")
	})
	t.Run("goes on if its answer has begun, if it may not be repeated, or if the replica has loaded newer weights", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		r, s := start(p, true)
		p.tick(medlarworld.AnswerBegan{Run: r.ID, Attempt: s.Attempt, After: time.Millisecond, Version: "1"})
		start(p, false)
		start(p, true)
		p.setVersion("2")
		p.advance(oldGrace - time.Second)
		p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engineMember(0, "2"), engineMember(1, "2")}})
		if ids := p.advance(3 * time.Second); len(ids) != 0 {
			t.Errorf("withdrawn: %v", ids)
		}
	})
	t.Run("goes on if its answer has begun or if it may not be repeated, on older weights", func(t *testing.T) {
		p := newPartsHarness(t, 2, nil)
		r, s := start(p, true)
		p.tick(medlarworld.AnswerBegan{Run: r.ID, Attempt: s.Attempt, After: time.Millisecond, Version: "1"})
		start(p, false)
		p.setVersion("2")
		if ids := p.advance(oldGrace + time.Second); len(ids) != 0 {
			t.Errorf("withdrawn: %v", ids)
		}
	})
	t.Run("ends by the earliest time that is known of the change", func(t *testing.T) {
		p := newPartsHarness(t, 1, func(cfg *medlarworld.Config) { cfg.VersionsIncrease = true })
		p.setVersion("2")
		r, _ := start(p, true)
		p.tick(medlarworld.PeerLoadReported{Peer: "other", Changes: []medlarhistory.ChangeAge{{Model: partsModel, Version: "2", Age: oldGrace}}})
		if ids := p.advance(200 * time.Millisecond); len(ids) != 1 || ids[0] != r.ID {
			t.Errorf("withdrawn: %v, want %s", ids, r.ID)
		}
	})
}
