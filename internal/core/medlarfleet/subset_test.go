package medlarfleet

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// TestSubsetsOfLargeFleets guards against small fleets and services with few replicas that leave some out, and against a large fleet
// that does not.
func TestSubsetsOfLargeFleets(t *testing.T) {
	w := medlarworld.New(medlarworld.Config{Self: "self"})
	w.Now = time.Unix(1000, 0)
	s := New()
	list := func(replicas int) medlarworld.InstancesListed {
		var e medlarworld.InstancesListed
		for i := range replicas {
			e.Members = append(e.Members, medlarupstream.Member{ID: medlarid.InstanceID(fmt.Sprint("e", i)), Kind: memberEngine, Model: "m", Service: "engines"})
		}
		for i := range 3 {
			e.Members = append(e.Members, medlarupstream.Member{ID: medlarid.InstanceID(fmt.Sprint("p", i)), Kind: memberService, Service: "plain"})
		}
		return e
	}
	run := func(events ...medlarworld.Event) {
		for range 3 {
			w.Now = w.Now.Add(subsetInterval)
			w.Events = events
			for _, service := range []medlarid.ServiceID{"engines", "plain"} {
				for range 10 {
					w.Events = append(w.Events, medlarworld.Submitted{Run: &medlarworld.Run{Service: service}})
				}
			}
			s.Run(w)
		}
	}
	others := func(n int) {
		w.Others = nil
		for i := range n {
			w.Others = append(w.Others, medlarid.InstanceID(fmt.Sprint("i", i)))
		}
	}
	assertNear := func(what string, least, most int) {
		t.Helper()
		near := map[medlarid.ServiceID]int{}
		for _, u := range w.Upstreams {
			if !u.Far {
				near[u.Service]++
			}
		}
		if near["engines"] < least || near["engines"] > most || near["plain"] != 3 {
			t.Errorf("%s: replicas in the subsets %v; want %d to %d, and 3 of the plain service", what, near, least, most)
		}
	}
	others(maxFullFleet - 1)
	run(list(90))
	assertNear("a small fleet", 90, 90)
	others(maxFullFleet)
	run()
	assertNear("one instance more", 4, 16)
	run(list(91))
	assertNear("a replica joins", 4, 16)
	for range 20 {
		run()
	}
	assertNear("the rate is known", 12, 12)
	for _, u := range w.Upstreams {
		u.Far = false // as of one that is removed and listed anew between two updates
	}
	run()
	assertNear("replicas that are listed anew", 12, 12)
	run(list(5))
	assertNear("few replicas", 5, 5)
	run(list(90))
	others(10)
	run()
	assertNear("a small fleet again", 90, 90)
}
