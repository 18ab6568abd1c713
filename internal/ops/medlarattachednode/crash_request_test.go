package medlarattachednode_test

import (
	"fmt"
	"testing"
	"time"

	"medlarfield/internal/stand/medlarfakereplica"
	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarlink"
	"medlarfield/internal/stand/medlarsite"
)

// The users' bounds on one request that crashes replicas.
const (
	requestCrashesSettled = 3 // after which further arrivals count, once crashSettling has passed
	maxRequestRetries     = 3
)

const crashBody = `{"n":13}`

// requestKind is a kind of requests, with the bad one and the n-th sound one. Sound requests have
// the path and the account of the bad one.
type requestKind struct {
	bad   func(n int) request
	sound func(n int) request
}

func plainKind(method, path string) requestKind {
	return requestKind{
		bad: func(n int) request {
			return request{method: method, path: path, id: fmt.Sprintf("b-%d", n), body: crashBody}
		},
		sound: func(n int) request {
			return request{method: method, path: path, id: fmt.Sprintf("s-%d", n), body: fmt.Sprintf(`{"n":%d}`, 1000+n)}
		},
	}
}

// promptKind returns prompts that come again with other ids of their last part if fresh is set.
func promptKind(path string, fresh bool) requestKind {
	return requestKind{
		bad: func(n int) request {
			last := 7
			if fresh {
				last = 9000 + n
			}
			return request{method: "POST", path: path, id: fmt.Sprintf("b-%d", n), body: crashBody, fields: prompt(fmt.Sprintf("aa:100,%s,%d:500", soundPart(1), last))}
		},
		sound: func(n int) request {
			return request{method: "POST", path: path, id: fmt.Sprintf("s-%d", n), body: fmt.Sprintf(`{"n":%d}`, 1000+n), fields: prompt(fmt.Sprintf("aa:100,%s,%d:500", soundPart(n), 1000+n))}
		},
	}
}

// restartOne restarts the instance with the most callers while a load goes on.
func restartOne(f *fleet) {
	time.Sleep(2 * time.Second)
	f.restart(0)
}

// storeAway keeps the store from all instances for a moment while a load goes on.
func storeAway(f *fleet) {
	for _, w := range f.members {
		w.endpoint.SetFault(medlarfaketopic.FaultRefuse)
	}
	time.Sleep(700 * time.Millisecond)
	for _, w := range f.members {
		w.endpoint.SetFault(medlarfaketopic.FaultNone)
	}
}

// behindProxy lets connections to replicas that are down open, and be reset.
func behindProxy(s *medlarsite.Settings) { s.Links = true }

// cutTwo cuts two instances off from all replicas.
func cutTwo(f *fleet) { f.set(medlarlink.Refused, 0, 1) }

// staleEntries lets replicas start again at their address while their entry names the earlier start, and
// leaves fewer of them than crashes are needed.
func staleEntries(s *medlarsite.Settings) { s.StaleEntries, s.Plain, s.Engines = true, 2, 2 }

// TestRequestThatCrashesReplicasIsStopped guards against one request that is sent again and again
// and crashes replica after replica, through whatever instance it comes.
func TestRequestThatCrashesReplicasIsStopped(t *testing.T) {
	t.Parallel()
	safe, unsafe := plainKind("GET", "/read/x"), plainKind("POST", "/post/x")
	instances := 31
	if testing.Short() {
		instances = 9
	}
	for _, tc := range []struct {
		name      string
		kind      requestKind
		instances int
		at        medlarfakereplica.CrashPoint
		change    func(*medlarsite.Settings)
		during    func(*fleet)
	}{
		{name: "safe, one instance", kind: safe, instances: 1, at: medlarfakereplica.CrashRunning},
		{name: "safe, five instances", kind: safe, instances: 5, at: medlarfakereplica.CrashRunning},
		{name: "safe, many instances", kind: safe, instances: instances, at: medlarfakereplica.CrashRunning},
		{name: "safe, within the head", kind: safe, instances: 5, at: medlarfakereplica.CrashInHead},
		{name: "safe, after a head without a signature", kind: safe, instances: 5, at: medlarfakereplica.CrashUnsigned},
		{name: "safe, replicas that start again under their id", kind: safe, instances: 5, at: medlarfakereplica.CrashRunning, change: func(s *medlarsite.Settings) { s.KeepID = true }},
		{name: "safe, entries that do not tell of the new start", kind: safe, instances: 5, at: medlarfakereplica.CrashRunning, change: staleEntries},
		{name: "unsafe, entries that do not tell of the new start", kind: unsafe, instances: 1, at: medlarfakereplica.CrashRunning, change: staleEntries},
		{name: "prompt, entries that do not tell of the new start", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashBegun, change: staleEntries},
		{name: "unsafe", kind: unsafe, instances: 5, at: medlarfakereplica.CrashRunning},
		{name: "prompt", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashBegun},
		{name: "prompt within the head", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashInHead},
		{name: "prompt that may be resumed", kind: promptKind("/letter/x", false), instances: 5, at: medlarfakereplica.CrashBegun},
		{name: "prompt with another last part each time", kind: promptKind("/query/x", true), instances: 5, at: medlarfakereplica.CrashBegun},
		{name: "safe, behind a proxy", kind: safe, instances: 5, at: medlarfakereplica.CrashRunning, change: behindProxy},
		{name: "unsafe, behind a proxy", kind: unsafe, instances: 5, at: medlarfakereplica.CrashRunning, change: behindProxy},
		{name: "prompt, behind a proxy", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashBegun, change: behindProxy},
		{name: "unsafe, behind a proxy, instances cut off", kind: unsafe, instances: 5, at: medlarfakereplica.CrashRunning, change: behindProxy, during: cutTwo},
		{name: "prompt, behind a proxy, instances cut off", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashBegun, change: behindProxy, during: cutTwo},
		{name: "safe, an instance that restarts", kind: safe, instances: 5, at: medlarfakereplica.CrashRunning, during: restartOne},
		{name: "unsafe, an instance that restarts", kind: unsafe, instances: 5, at: medlarfakereplica.CrashRunning, during: restartOne},
		{name: "prompt, an instance that restarts", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashBegun, during: restartOne},
		{name: "safe, the store away for a moment", kind: safe, instances: 5, at: medlarfakereplica.CrashRunning, during: storeAway},
		{name: "unsafe, the store away for a moment", kind: unsafe, instances: 5, at: medlarfakereplica.CrashRunning, during: storeAway},
		{name: "prompt, the store away for a moment", kind: promptKind("/query/x", false), instances: 5, at: medlarfakereplica.CrashBegun, during: storeAway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, tc.instances, func(s *medlarsite.Settings) {
				s.Plain, s.Slots, s.ServiceTime = 3, 6, 10*time.Millisecond
				if tc.change != nil {
					tc.change(s)
				}
			})
			stop := make(chan struct{})
			sound := f.loadRequests(20*time.Millisecond, stop, tc.kind.sound)
			time.Sleep(500 * time.Millisecond)
			f.site.CrashOnRequest(func(r medlarfakereplica.Run) medlarfakereplica.CrashPoint {
				if r.Body == crashBody {
					return tc.at
				}
				return medlarfakereplica.CrashNowhere
			})
			bad := f.loadRequests(150*time.Millisecond, stop, tc.kind.bad)
			if tc.during != nil {
				tc.during(f)
			}
			time.Sleep(9 * time.Second)
			close(stop)
			assertRequestStopped(t, f, bad())
			assertSoundServed(t, f, sound())
		})
	}
}

// assertRequestStopped asserts that a request hardly reached replicas once it had crashed three,
// and that its callers were told so at once.
func assertRequestStopped(t *testing.T, f *fleet, bad []outcome) {
	t.Helper()
	crashes := f.site.Crashes()
	if len(crashes) < requestCrashesSettled {
		t.Fatalf("%d crashes; the test shows nothing", len(crashes))
	}
	settled := crashes[requestCrashesSettled-1].At.Add(crashSettling)
	n := f.site.ArrivalsSince(settled)
	if n > maxRequestRetries {
		t.Errorf("the request reached replicas %d times after it had crashed three, want %d at most; %d crashes in all", n, maxRequestRetries, len(crashes))
	}
	t.Logf("%d crashes, the last %v after the first; the request was sent %d times and arrived %d times after it had crashed three", len(crashes), crashes[len(crashes)-1].At.Sub(crashes[0].At), len(bad), n)
	refused, late := 0, 0
	for _, o := range bad {
		if o.sent.After(settled) {
			late++
			if o.result.status == 503 {
				refused++
			}
		}
	}
	if refused < late-maxRequestRetries || late == 0 {
		t.Errorf("%d of %d late requests were refused as not run", refused, late)
	}
}
