package medlarattachednode_test

import (
	"bytes"
	"regexp"
	"strconv"
	"testing"
	"time"

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
	f := startFleet(t, 1, nil)
	announced := func() int {
		n := 0
		for _, r := range f.site.Store.Records("keyed.medlar") {
			if bytes.Contains(r, []byte(`peer/entry-1{`)) {
				n++
			}
		}
		return n
	}
	w := f.members[0]
	w.eventually("the instance announces its address", func() bool { return announced() == 1 })
	f.site.Store.Put("keyed.medlar", "peer/entry-1", nil)
	w.eventually("it announces it again", func() bool { return announced() == 2 })
}
