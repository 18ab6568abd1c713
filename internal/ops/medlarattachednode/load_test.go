package medlarattachednode_test

import (
	"bytes"
	"regexp"
	"strconv"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarsite"
)

var othersField = regexp.MustCompile(`"others":(\d+)`)

// TestInstancesTellOneAnotherOfLoad guards against an instance that does not learn how many streams another one
// has at the replicas, also after the other one has started again.
func TestInstancesTellOneAnotherOfLoad(t *testing.T) {
	t.Parallel()
	const streams = 12
	f := startFleet(t, 2, func(s *medlarsite.Settings) {
		s.Engines, s.Slots, s.Events, s.ServiceTime = 2, 16, 30, 50*time.Millisecond
	})
	busy, idle := f.members[0], f.members[1]
	learns := func(what string) {
		done := make(chan struct{})
		for i := range streams {
			go func() {
				busy.trySendNew(request{method: "POST", path: "/query/x", id: what + strconv.Itoa(i), body: "{}", fields: prompt("aa:100,own:500")}.text())
				done <- struct{}{}
			}()
		}
		idle.eventually("the instance knows of the other one's streams "+what, func() bool {
			idle.trySendNew(request{method: "POST", path: "/query/x", id: what + "-look", body: "{}", fields: prompt("aa:100,own:5")}.text())
			most := 0
			for _, m := range othersField.FindAllStringSubmatch(idle.logs.text(), -1) {
				n, _ := strconv.Atoi(m[1])
				most = max(most, n)
			}
			return most > 0 && most <= streams
		})
		for range streams {
			<-done
		}
	}
	learns("before")
	idle.logs.reset()
	f.restart(0)
	busy = f.members[0]
	busy.eventually("the instance is ready again", busy.instance.Ready)
	learns("after")
}

// TestAddressIsAnnouncedAgain guards against an instance that others have forgotten while it was cut off, and that
// is never told of their load again.
func TestAddressIsAnnouncedAgain(t *testing.T) {
	t.Parallel()
	const own, earlier = "peer/entry-1", 10
	remove := func(s *medlarfaketopic.Store) { s.Put("keyed.medlar", own, nil) }
	for _, tc := range []struct {
		name  string
		fault medlarfaketopic.Fault // until the address was removed
		lost  func(*medlarfaketopic.Store)
	}{
		{"removed", medlarfaketopic.FaultNone, remove},
		{"removed before the instance has read anything", medlarfaketopic.FaultUnread, remove},
		{"lost with the store before the instance has read anything", medlarfaketopic.FaultUnread, func(s *medlarfaketopic.Store) { s.Rewind(earlier + 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			site, err := medlarsite.New(medlarsite.Default())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(site.Close)
			for range earlier {
				site.Store.Put("keyed.medlar", "peer/gone", nil)
			}
			w := attach(t, site, "entry-1", tc.fault)
			announced := func() (n int) {
				for _, r := range site.Store.Records("keyed.medlar") {
					if bytes.Contains(r, []byte(own+"{")) {
						n++
					}
				}
				return n
			}
			w.eventually("the instance announces its address", func() bool { return announced() == 1 })
			tc.lost(site.Store)
			remaining := announced()
			w.endpoint.SetFault(medlarfaketopic.FaultNone)
			w.eventually("it announces it again", func() bool { return announced() > remaining })
			time.Sleep(2 * time.Second) // what is read meanwhile must not make it write more
			if n := announced() - remaining; n != 1 {
				t.Errorf("announced %d times, want once", n)
			}
		})
	}
}
