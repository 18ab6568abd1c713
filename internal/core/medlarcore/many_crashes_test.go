package medlarcore

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/core/medlarworld"
)

// crashReports returns what instances report of replicas that crashed at one moment, each with a number
// of prompts: one part in all, one of sixteen, and the requests as a whole.
func crashReports(reports, replicas, prompts int) []medlarworld.Event {
	var out []medlarworld.Event
	for n := range reports {
		r := medlarsuspect.Report{Crash: medlarsuspect.CrashID{Replica: medlarid.InstanceID(fmt.Sprint("lost", n%replicas)), Incarnation: 1}}
		for k := range prompts {
			q := medlarsuspect.Request{Target: "/letter/one", Body: fmt.Append(nil, n, k)}
			r.Begun = append(r.Begun, "all", medlarsuspect.Trait(fmt.Sprint("some", (n+k)%16)))
			r.Begun = append(r.Begun, q.Traits()...)
		}
		out = append(out, medlarworld.CrashReported{Report: r})
	}
	return out
}

// TestManyCrashReportsTakeLittleTime guards against an instance that serves nobody while it evaluates what all
// instances have recorded of a crash of all replicas.
func TestManyCrashReportsTakeLittleTime(t *testing.T) {
	const eventsOfTick, bound = 256, 2 * time.Second
	p := newPartsHarness(t, 1, nil)
	reports := crashReports(35*16, 60, 10)
	begin := time.Now()
	for len(reports) > 0 {
		n := min(len(reports), eventsOfTick)
		p.tick(reports[:n]...)
		reports = reports[n:]
	}
	if took := time.Since(begin); took > bound {
		t.Errorf("the reports took %v, want %v at most", took, bound)
	}
}
