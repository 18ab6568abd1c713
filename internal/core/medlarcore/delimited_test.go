package medlarcore

import (
	"testing"
	"time"

	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// TestDelimitedAnswers guards against a part that is cleared by each replica that it crashes: an answer that the end of the
// connection delimits looks complete where the crash cut it off between two events.
func TestDelimitedAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		began   time.Duration
		then    func(p *partsHarness, engine int)
		blocked bool
	}{
		{"the replica is down", 0, func(p *partsHarness, _ int) { p.probeEnd(medlarworld.UpstreamProbed{Down: true, Refused: true}) }, true},
		{"the replica has answered another request since", 0, func(p *partsHarness, i int) {
			p.endAt(i, medlarworld.AttemptEnded{Cause: medlarkind.CauseDone, Reached: true, Head: true})
		}, false},
		{"the replica has answered a call since", 0, func(p *partsHarness, _ int) { p.probeEnd(medlarworld.UpstreamProbed{Answered: true}) }, false},
		{"the answer began long before its end", time.Second, func(*partsHarness, int) {}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPartsHarness(t, 5, nil)
			for i := range 3 {
				p.endAt(i, medlarworld.AttemptEnded{
					Cause: medlarkind.CauseDone, Reached: true, Head: true, Delimited: true, Began: tc.began, Connected: p.now,
				}, "x")
				p.now = p.now.Add(150 * time.Millisecond)
				tc.then(p, i)
				p.now = p.now.Add(time.Second)
				p.tick(medlarworld.Tick{})
				if !tc.blocked { // a crash of which the answer clears the part
					p.tick(medlarworld.CrashReported{Report: medlarsuspect.Report{
						Crash: medlarsuspect.CrashID{Replica: engineMember(i, "").ID}, Begun: []medlarsuspect.Trait{"x"},
					}})
				}
			}
			p.now = p.now.Add(time.Second)
			p.tick(medlarworld.Tick{})
			if _, blocked := p.core.World().Suspects.Blocked([]medlarsuspect.Trait{"x"}); blocked != tc.blocked {
				t.Errorf("blocked: %v, want %v", blocked, tc.blocked)
			}
		})
	}
}

// probeEnd ticks until a probe is asked for, and answers it.
func (p *partsHarness) probeEnd(e medlarworld.UpstreamProbed) {
	p.t.Helper()
	e.Crash = crashProbed(p.t, p.tick(medlarworld.Tick{}))
	p.tick(e)
}
