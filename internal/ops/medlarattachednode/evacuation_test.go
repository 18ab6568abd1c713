package medlarattachednode_test

import (
	"strings"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarsite"
)

// evacuationBound is the users' bound on the time from the record of an evacuation to the last request in the
// availability zone.
const evacuationBound = 5 * time.Second

// zoneArrivals returns how many requests have reached the engine's replicas of an availability zone from a time on.
func (f *fleet) zoneArrivals(zone string, from time.Time) int {
	n := 0
	for _, r := range f.site.EngineReplicas() {
		if r.Settings.Zone == zone {
			n += arrivalsBetween(r, from, time.Now())
		}
	}
	return n
}

// TestEvacuatedZoneGetsNoRequests guards against requests at replicas of an availability zone that the operators have
// evacuated, through whatever instance they come, and against a zone that stays empty after that.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, func(s *medlarsite.Settings) { s.Engines, s.Slots, s.Zones = 6, 64, []string{"a", "b", "c"} })
	stop := make(chan struct{})
	results := f.limitLoad(stop)
	time.Sleep(500 * time.Millisecond)
	begin := time.Now()
	f.site.Evacuate("b", true)
	for _, w := range f.members {
		w.eventually("the gauge shows the zone", func() bool { return strings.Contains(w.metrics(), "medlar_evacuated_zones 1") })
	}
	applied := time.Since(begin)
	quiet := time.Now().Add(200 * time.Millisecond) // requests that are on their way
	time.Sleep(2 * time.Second)
	if n := f.zoneArrivals("b", quiet); n != 0 {
		t.Errorf("%d requests in the evacuated zone, want none", n)
	}
	if applied > evacuationBound {
		t.Errorf("applied after %v, want %v at most", applied, evacuationBound)
	}
	t.Logf("applied by all instances after %v", applied)
	back := time.Now()
	f.site.Evacuate("b", false)
	f.members[0].eventually("the zone gets requests again", func() bool { return f.zoneArrivals("b", back) > 0 })
	close(stop)
	assertServed(t, results(), begin)
	for _, line := range []string{`"event":"evacuation","zone":"b","active":true`, `"event":"evacuation","zone":"b","active":false`} {
		f.members[0].eventually("the log has "+line, func() bool { return strings.Contains(f.members[0].logs.text(), line) })
	}
}

// TestServiceInEvacuatedZones guards against requests that wait while all replicas of their service are in evacuated
// availability zones.
func TestServiceInEvacuatedZones(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, func(s *medlarsite.Settings) { s.Engines, s.Zones = 2, []string{"b", "c"} })
	w := f.members[0]
	f.site.Evacuate("b", true)
	f.site.Evacuate("c", true)
	w.eventually("the gauge shows the zones", func() bool { return strings.Contains(w.metrics(), "medlar_evacuated_zones 2") })
	begin := time.Now()
	got := w.send(request{method: "POST", path: "/query/x", id: "q", body: "{}", fields: prompt("aa:10,own:5")})
	assertResult(t, got, 503, "")
	if n := len(w.ran("q")); n != 0 {
		t.Errorf("the refused request ran %d times", n)
	}
	if took := time.Since(begin); took > 200*time.Millisecond {
		t.Errorf("refused after %v, want 200ms at most", took)
	}
	assertResult(t, w.send(request{path: "/read/a", id: "r"}), 200, "")
	w.eventually("the refusal is counted", func() bool { return strings.Contains(w.metrics(), `medlar_refusals_total{reason="evacuated"} 1`) })
}
