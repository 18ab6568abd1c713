package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarbuild"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestServicesDoNotWaitForOneAnother guards against requests to a service with room that are refused, or told to
// come back late, because prompts wait for another service.
func TestServicesDoNotWaitForOneAnother(t *testing.T) {
	p := newPartsHarness(t, 1, func(cfg *medlarworld.Config) { cfg.MaxQueued = 1000 })
	engine := engineMember(0, "1")
	engine.Slots = 1
	ledger := medlarupstream.Member{ID: "l0", Kind: "service", Address: "at-l0", Service: "ledger", Zone: "a"}
	p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engine, ledger}})
	var running *medlarworld.StartAttempt
	for i := range 400 { // the engine answers a prompt each 200 ms, and gets five times as many
		r := p.newRun(100, 100)
		r.Deadline = p.now.Add(time.Minute)
		events := []medlarworld.Event{medlarworld.Submitted{Run: r}}
		if i%5 == 0 && running != nil {
			events = append(events, medlarworld.AttemptEnded{Run: running.Run, Attempt: running.Attempt, Cause: medlarkind.CauseDone, Reached: true})
			running = nil
		}
		if s := startOf(p.tick(events...)); s != nil {
			running = s
		}
		p.now = p.now.Add(40 * time.Millisecond)
	}
	if n := len(p.core.World().Waiting); n < 30 {
		t.Fatalf("%d prompts wait; the test shows nothing", n)
	}
	for i := range 20 {
		r := &medlarworld.Run{ID: medlarid.RequestID("post-" + string(rune('a'+i))), Service: "ledger", Arrived: p.now, Deadline: p.now.Add(time.Second), MaxAttempts: 1}
		if cs := p.tick(medlarworld.Submitted{Run: r}); startOf(cs) == nil {
			t.Fatalf("request %d to a service with room does not start: %+v", i, cs)
		}
		p.now = p.now.Add(10 * time.Millisecond)
	}
}

// TestResumedStreamsGoOnUnderOverload guards against streams that callers cannot resume at an instance that gets five times as many
// prompts as its upstream answers: that they wait longer than a new one may is no reason to refuse them.
func TestResumedStreamsGoOnUnderOverload(t *testing.T) {
	p := newPartsHarness(t, 1, func(cfg *medlarworld.Config) { cfg.MaxQueued = 1000 })
	engine := engineMember(0, "1")
	engine.Slots = 1
	p.tick(medlarworld.InstancesListed{Members: []medlarupstream.Member{engine}})
	var running *medlarworld.StartAttempt
	resumed, began := map[medlarid.RequestID]bool{}, 0
	for i := range 400 { // the engine answers a prompt each 200 ms
		r := p.newRun(100, 100)
		r.StartBy = p.now.Add(280 * time.Millisecond)
		r.Stream = medlarbuild.KeyOf("acme", r.ID)
		if i%20 == 19 && i < 350 {
			r.Resumes, resumed[r.ID] = true, false
		}
		events := []medlarworld.Event{medlarworld.Submitted{Run: r}}
		if i%5 == 0 && running != nil {
			events = append(events, medlarworld.AttemptEnded{Run: running.Run, Attempt: running.Attempt, Cause: medlarkind.CauseDone, Reached: true})
			running = nil
		}
		if s := startOf(p.tick(events...)); s != nil {
			running = s
			if _, ok := resumed[s.Run]; ok {
				resumed[s.Run] = true
			} else {
				began++
			}
		}
		p.now = p.now.Add(40 * time.Millisecond)
	}
	for id, ok := range resumed {
		if !ok {
			t.Errorf("stream %s does not go on", id)
		}
	}
	if began < 40 {
		t.Errorf("%d new streams began, want 40 at least", began)
	}
}

// TestStreamBrokenOffGoesOn guards against an answer that began in time, broke off later, and is not gone on with: the times by which it had to
// begin have passed, but its caller has the beginning.
func TestStreamBrokenOffGoesOn(t *testing.T) {
	for _, tc := range []struct {
		name   string
		broken time.Duration // after its arrival
		began  bool
		want   bool
	}{
		{"soon", 100 * time.Millisecond, true, true},
		{"after the time to begin in time", time.Second, true, true},
		{"after the time at which a caller leaves without an answer", 3 * time.Second, true, true},
		{"no answer has begun when the caller leaves", 3 * time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 2, nil)
			r := p.newRun(100, 100)
			r.Stream = medlarbuild.KeyOf("acme", r.ID)
			r.TargetTTFT, r.StartBy, r.AbandonAt = 300*time.Millisecond, p.now.Add(280*time.Millisecond), p.now.Add(2400*time.Millisecond)
			s := p.submit(r)
			p.now = p.now.Add(50 * time.Millisecond)
			if tc.began {
				p.tick(medlarworld.AnswerBegan{Run: r.ID, Attempt: s.Attempt, After: 50 * time.Millisecond, Version: "1"})
			}
			p.now = r.Arrived.Add(tc.broken)
			cs := p.tick(medlarworld.AttemptEnded{Run: r.ID, Attempt: s.Attempt, Cause: medlarkind.CauseRetry, Reason: medlarreason.Truncated, Reached: true, Version: "1"})
			for range 20 {
				p.now = p.now.Add(10 * time.Millisecond)
				cs = append(cs, p.tick()...)
			}
			if next := startOf(cs); (next != nil) != tc.want {
				t.Errorf("next attempt %+v, refused %+v; want one: %v", next, refusalOf(cs), tc.want)
			}
		})
	}
}
