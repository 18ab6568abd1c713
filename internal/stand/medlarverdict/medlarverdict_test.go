package medlarverdict_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"medlarfield/internal/stand/medlarsoak"
	"medlarfield/internal/stand/medlarverdict"
)

// begin is the time of the first request, and calmAt that at which all faults have ended, in Unix ms.
const (
	begin  = 1_000_000
	calmAt = begin + 2000
)

// sound returns records of a schedule in which no rule is broken: 100 requests, one each 50 ms.
func sound() medlarsoak.Records {
	var r medlarsoak.Records
	for n := range 100 {
		c := &medlarsoak.Call{At: int64(begin + 50*n), ID: fmt.Sprint("r", n), Path: "/post/one", Status: 200, Ended: true}
		c.Answers, c.Body = c.ID, "answer to "+c.ID
		if n%2 == 1 {
			c.Path, c.Body = "/query/one", events(c.ID, 1, 2, 3, 4, 5, 6, 7, 8)
		}
		r.Calls = append(r.Calls, c)
		run := medlarsoak.Run{At: c.At, ID: c.ID, Path: c.Path, Replica: "a", Left: 3000, Most: 1}
		r.Arrivals, r.Runs = append(r.Arrivals, run), append(r.Runs, run)
	}
	r.Processes = []medlarsoak.Process{
		{At: begin, What: "start", Args: []string{"1", "77"}},
		{At: begin + 100, What: medlarsoak.Back},
		{At: begin + 200, What: medlarsoak.Exit, Args: []string{"1", "0"}},
		{At: calmAt, What: medlarsoak.Calm},
	}
	return r
}

func events(id string, numbers ...int) string { return eventsOf(id, "", numbers...) }

// eventsOf returns events that name a software version.
func eventsOf(id, build string, numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, strings.TrimSpace(id+" "+build))
	}
	return b.String()
}

// post and query are the calls and runs that the rows change.
const (
	post  = 10
	query = 11
)

// repeatArrivals adds n arrivals of requests that may be repeated.
func repeatArrivals(r *medlarsoak.Records, n int) {
	for i := range n {
		r.Arrivals = append(r.Arrivals, medlarsoak.Run{At: calmAt + int64(i), ID: fmt.Sprint("repeated-", i/2), Path: "/read/a"})
	}
}

// runElsewhere lets the first n streams, which may run again, run on another replica, too, with a largest number of
// attempts.
func runElsewhere(r *medlarsoak.Records, n, most int) {
	for i := query; i < query+2*n; i += 2 {
		r.Calls[i].Path = "/letter/one"
		run := r.Runs[i]
		run.Path, run.Replica, run.Most = r.Calls[i].Path, "b", most
		r.Runs = append(r.Runs, run)
	}
}

// takeUp lets a stream break off after three events of a software version, and its caller take it up at another one.
func takeUp(r *medlarsoak.Records, i int, before, after string) *medlarsoak.Call {
	first := r.Calls[i]
	first.Body, first.Ended = eventsOf(first.ID, before, 1, 2, 3)+"id: 4\nda", false
	c := *first
	c.ID, c.Began, c.After, c.Ended = first.ID+"-1", first.ID, 3, true
	c.Answers, c.Body = c.ID, eventsOf(c.ID, after, 4, 5, 6, 7, 8)
	run := r.Runs[i]
	run.ID, run.Resumed = c.ID, true
	r.Calls, r.Runs = append(r.Calls, &c), append(r.Runs, run)
	return &c
}

// tellLeft sets the time that the first n arrivals are told, in ms.
func tellLeft(r *medlarsoak.Records, n int, left int64) {
	for i := range r.Arrivals[:2*n] {
		r.Arrivals[i].Left = left
	}
}

// arriveAgain lets the first n plain requests arrive again after a time, and be told some, in ms.
func arriveAgain(r *medlarsoak.Records, n int, after, left int64) {
	for _, a := range slices.Clone(r.Arrivals)[:2*n] {
		a.At += after
		a.Left = left
		r.Arrivals = append(r.Arrivals, a)
	}
}

// arriveInPause lets n requests reach a replica a time after it has asked an instance for a pause of 1.5 s, in ms.
func arriveInPause(r *medlarsoak.Records, n int, after int64) {
	r.Pauses = append(r.Pauses, medlarsoak.Run{At: begin, ID: "p", Path: "/read/a", Replica: "a", Instance: "entry-7", Pause: 1500})
	for i := range n {
		r.Arrivals = append(r.Arrivals, medlarsoak.Run{At: begin + after + int64(i), ID: fmt.Sprint("q", i), Path: "/read/a", Replica: "a", Instance: "entry-7", Left: 3000})
	}
}

// arriveDeadly lets a number of replicas crash under requests of a kind, and n more of these arrive 3.1 s after the last
// crash.
func arriveDeadly(r *medlarsoak.Records, kind medlarsoak.Deadly, crashes, n int) {
	run := medlarsoak.Run{At: begin, Path: "/read/deadly", Instance: "entry-7", Deadly: kind, Left: 3000}
	for i := range crashes {
		run.ID, run.Replica = fmt.Sprint("d", i), fmt.Sprint("c", i)
		r.Runs = append(r.Runs, run)
	}
	run.At += 3100
	for i := range n {
		run.ID = fmt.Sprint("e", i)
		r.Arrivals = append(r.Arrivals, run)
	}
}

// TestEachRuleCanBeBroken guards against a check that never fails.
func TestEachRuleCanBeBroken(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rule   medlarverdict.Rule
		change func(*medlarsoak.Records)
	}{
		{"refused and ran", medlarverdict.RuleRefused, func(r *medlarsoak.Records) { r.Calls[post].Status, r.Calls[post].Body = 503, "full" }},
		{"refused and ran later", medlarverdict.RuleRefused, func(r *medlarsoak.Records) {
			r.Calls[query].Status, r.Calls[query].Body, r.Runs[query].At = 429, "", calmAt
		}},
		{"a refused stream was resumed", medlarverdict.RuleRefused, func(r *medlarsoak.Records) {
			r.Calls[query].Status, r.Calls[query].Body, r.Runs[query].Resumed = 503, "", true
		}},
		{"ran twice", medlarverdict.RuleOnce, func(r *medlarsoak.Records) { r.Runs = append(r.Runs, r.Runs[post]) }},
		{"ran twice, no answer", medlarverdict.RuleOnce, func(r *medlarsoak.Records) {
			r.Calls[query].Status, r.Calls[query].Body, r.Runs = 0, "", append(r.Runs, r.Runs[query])
		}},
		{"names another request", medlarverdict.RuleOwn, func(r *medlarsoak.Records) { r.Calls[post].Answers = "other" }},
		{"answer to another", medlarverdict.RuleOwn, func(r *medlarsoak.Records) { r.Calls[post].Body = "answer to r12" }},
		{"bytes behind the answer", medlarverdict.RuleOwn, func(r *medlarsoak.Records) { r.Calls[post].Body += "HTTP/1.1 200 OK" }},
		{"answered, not run", medlarverdict.RuleOwn, func(r *medlarsoak.Records) { r.Runs = slices.Delete(r.Runs, post, post+1) }},
		{"failure that holds an answer", medlarverdict.RuleOwn, func(r *medlarsoak.Records) { r.Calls[post].Status = 502 }},
		{"event of another stream", medlarverdict.RuleOwn, func(r *medlarsoak.Records) {
			r.Calls[query].Body = events("r11", 1, 2, 3) + events("r12", 4)
		}},
		{"text of a failure, broken off", medlarverdict.RuleOwn, func(r *medlarsoak.Records) {
			r.Calls[query].Body, r.Calls[query].Ended = events("r11", 1, 2)+"failed: out of memory\n", false
		}},
		{"comment that goes on as an event", medlarverdict.RuleOwn, func(r *medlarsoak.Records) {
			r.Calls[query].Body = events("r11", 1) + ": wait\ndata: r12\n\n" + events("r11", 2, 3, 4, 5, 6, 7, 8)
		}},
		{"half an answer as a whole", medlarverdict.RuleWhole, func(r *medlarsoak.Records) { r.Calls[post].Body = "answer to" }},
		{"half a stream as a whole", medlarverdict.RuleWhole, func(r *medlarsoak.Records) { r.Calls[query].Body = events("r11", 1, 2) }},
		{"half an event as a whole", medlarverdict.RuleWhole, func(r *medlarsoak.Records) { r.Calls[query].Body = events("r11", 1) + "id: 2\nda" }},
		{"event twice", medlarverdict.RuleOrder, func(r *medlarsoak.Records) { r.Calls[query].Body = events("r11", 1, 2, 2, 3) }},
		{"event missing, broken off", medlarverdict.RuleOrder, func(r *medlarsoak.Records) {
			r.Calls[query].Body, r.Calls[query].Ended = events("r11", 1, 2, 4)+"id: 5\nda", false
		}},
		{"a process ended", medlarverdict.RuleAlive, func(r *medlarsoak.Records) {
			r.Processes = append(r.Processes, medlarsoak.Process{At: calmAt, What: medlarsoak.Died, Args: []string{"1"}})
		}},
		{"exit code", medlarverdict.RuleAlive, func(r *medlarsoak.Records) { r.Processes[2].Args = []string{"1", "2"} }},
		{"never recovers", medlarverdict.RuleRecover, func(r *medlarsoak.Records) { unserved(r, 40, 100) }},
		{"recovers too late", medlarverdict.RuleRecover, func(r *medlarsoak.Records) {
			unserved(r, 0, 60)
			r.Processes[1].At -= medlarsoak.RecoverBound.Milliseconds()
		}},
		{"no end", medlarverdict.RulePlayed, func(r *medlarsoak.Records) { r.Processes = r.Processes[:3] }},
		{"a step failed", medlarverdict.RulePlayed, func(r *medlarsoak.Records) { r.Processes[0].What = medlarsoak.Failed }},
		{"repeats that pile up", medlarverdict.RuleBudget, func(r *medlarsoak.Records) { repeatArrivals(r, medlarverdict.BudgetSlack+len(r.Calls)) }},
		{"more replicas than attempts", medlarverdict.RuleTries, func(r *medlarsoak.Records) { runElsewhere(r, medlarverdict.OverAttempts+1, 1) }},
		{"no time", medlarverdict.RuleTime, func(r *medlarsoak.Records) { tellLeft(r, medlarverdict.OverTime+1, 0) }},
		{"too much time", medlarverdict.RuleTime, func(r *medlarsoak.Records) { tellLeft(r, medlarverdict.OverTime+1, 3501) }},
		{"time that starts anew", medlarverdict.RuleTime, func(r *medlarsoak.Records) { arriveAgain(r, medlarverdict.OverTime+1, 600, 3000) }},
		{"two software versions", medlarverdict.RuleBuild, func(r *medlarsoak.Records) {
			for i := range medlarverdict.MixedStreams + 1 {
				takeUp(r, query+2*i, "r0", "r1")
			}
		}},
		{"a stream taken up begins anew", medlarverdict.RuleOrder, func(r *medlarsoak.Records) {
			c := takeUp(r, query, "r0", "r0")
			c.Body = eventsOf(c.ID, "r0", 1, 2, 3, 4, 5, 6, 7, 8)
		}},
		{"requests in a pause", medlarverdict.RulePause, func(r *medlarsoak.Records) { arriveInPause(r, medlarverdict.OverPause+1, 600) }},
		{"a request that goes on crashing replicas", medlarverdict.RuleRequest, func(r *medlarsoak.Records) {
			arriveDeadly(r, medlarsoak.DeadlyRequest, medlarverdict.RequestCrashes, medlarverdict.OverDeadly+1)
		}},
		{"a part that goes on crashing replicas", medlarverdict.RulePart, func(r *medlarsoak.Records) {
			arriveDeadly(r, medlarsoak.DeadlyPart, medlarverdict.PartCrashes, medlarverdict.OverDeadly+1)
		}},
		{"no calls", medlarverdict.RuleRecover, func(r *medlarsoak.Records) { r.Calls = nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := sound()
			tc.change(&r)
			assertBroken(t, medlarverdict.Check(r), tc.rule)
		})
	}
	t.Run("repeats within the budget", func(t *testing.T) {
		r := sound()
		repeatArrivals(&r, medlarverdict.BudgetSlack)
		assertBroken(t, medlarverdict.Check(r))
	})
	t.Run("as many replicas as attempts", func(t *testing.T) {
		r := sound()
		runElsewhere(&r, 2*medlarverdict.OverAttempts, 2)
		assertBroken(t, medlarverdict.Check(r))
	})
	t.Run("time that goes on", func(t *testing.T) {
		r := sound()
		arriveAgain(&r, medlarverdict.OverTime+1, 600, 2900)
		assertBroken(t, medlarverdict.Check(r))
	})
	t.Run("streams taken up at one software version", func(t *testing.T) {
		r := sound()
		takeUp(&r, query, "r0", "r0")
		res := medlarverdict.Check(r)
		assertBroken(t, res)
		if res.Resumed != 1 || res.WentOn != 1 {
			t.Errorf("%d streams taken up, %d went on; want one", res.Resumed, res.WentOn)
		}
	})
	for _, tc := range []struct {
		name   string
		change func(*medlarsoak.Records)
	}{
		{"few requests in a pause", func(r *medlarsoak.Records) { arriveInPause(r, medlarverdict.OverPause, 600) }},
		{"requests right after the begin of a pause", func(r *medlarsoak.Records) { arriveInPause(r, medlarverdict.OverPause+1, 490) }},
		{"requests after a pause", func(r *medlarsoak.Records) { arriveInPause(r, medlarverdict.OverPause+1, 1500) }},
		{"requests in a pause by an instance that starts", func(r *medlarsoak.Records) {
			arriveInPause(r, medlarverdict.OverPause+1, 600)
			r.Processes = append(r.Processes, medlarsoak.Process{At: begin + 400, What: medlarsoak.Started, Args: []string{"7", "78"}})
		}},
		{"requests in a pause by an instance that is cut off", func(r *medlarsoak.Records) {
			arriveInPause(r, medlarverdict.OverPause+1, 600)
			r.States = append(r.States, medlarsoak.Run{At: begin - 1, Instance: "entry-7", State: "reset"})
		}},
		{"few arrivals of a deadly request", func(r *medlarsoak.Records) {
			arriveDeadly(r, medlarsoak.DeadlyRequest, medlarverdict.RequestCrashes, medlarverdict.OverDeadly)
		}},
		{"arrivals after too few crashes", func(r *medlarsoak.Records) {
			arriveDeadly(r, medlarsoak.DeadlyPart, medlarverdict.PartCrashes-1, medlarverdict.OverDeadly+1)
		}},
		{"deadly requests without the store", func(r *medlarsoak.Records) {
			arriveDeadly(r, medlarsoak.DeadlyRequest, medlarverdict.RequestCrashes, medlarverdict.OverDeadly+1)
			r.States = append(r.States, medlarsoak.Run{At: calmAt, State: "refuse"})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := sound()
			tc.change(&r)
			assertBroken(t, medlarverdict.Check(r))
		})
	}
	t.Run("sound", func(t *testing.T) { assertBroken(t, medlarverdict.Check(sound())) })
	t.Run("comment", func(t *testing.T) {
		r := sound()
		r.Calls[query].Body = ": wait\n\n" + r.Calls[query].Body + ": end\n\n"
		assertBroken(t, medlarverdict.Check(r))
	})
	t.Run("broken off visibly", func(t *testing.T) {
		r := sound()
		r.Calls[query].Body, r.Calls[query].Ended = events("r11", 1, 2)+"id: 3\n", false
		assertBroken(t, medlarverdict.Check(r))
	})
}

// unserved makes calls fail by a connection that is refused.
func unserved(r *medlarsoak.Records, from, to int) {
	for i := from; i < to; i++ {
		r.Calls[i] = &medlarsoak.Call{At: r.Calls[i].At, ID: r.Calls[i].ID, Path: r.Calls[i].Path, Error: "refused"}
	}
}

// assertBroken asserts that these rules are broken, and no others.
func assertBroken(t *testing.T, res medlarverdict.Result, want ...medlarverdict.Rule) {
	t.Helper()
	var got []medlarverdict.Rule
	for _, v := range res.Violations {
		got = append(got, v.Rule)
	}
	slices.Sort(got)
	if got = slices.Compact(got); !slices.Equal(got, want) {
		t.Errorf("broken: %v, want %v", got, want)
	}
}
