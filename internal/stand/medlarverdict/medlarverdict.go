// Package medlarverdict judges what callers, replicas and the script that carries a schedule out saw in a soak.
//
// Rules:
//
//	R1  A request that was refused as not run has not run, and does not run later.
//	R2  A request that may run once runs at most once.
//	R3  An answer names its own request, holds nothing of another, and a replica ran the request.
//	R4  An answer that ends as its framing requires is whole.
//	R5  The events of a stream arrive in order, each once.
//	R6  No process ends by itself, and one that gets SIGTERM ends with code 0.
//	R7  Nine tenths of first tries are served at most medlarsoak.RecoverBound after all instances have returned, and after the
//	    last fault.
//	R8  The schedule was played whole; else the record proves nothing.
//	R9  Within any BudgetWindow, at the replicas of a service no more requests arrive once more, rejected or not, than
//	    BudgetRatio of the requests for it, and BudgetSlack. The requests are those sent within the window, the one
//	    before it or the one half a window before it, whichever are most.
//	R10 At most OverAttempts requests run on more replicas than their routes have attempts.
//	R11 Replicas are told no more time than a plain request has left.
//	R12 Hardly any stream has events of two software versions, over all requests with which its caller took it up.
//	R13 At most OverPause requests reach a replica from an instance between half a second after it has answered that
//	    instance with a pause and the end of that pause, unless the instance was disturbed or cut off meanwhile.
//	R14 At most OverDeadly arrivals of a request under which replicas crash come by instances in touch later than 3 s after
//	    crash RequestCrashes.
//	R15 The same of requests with a part under which replicas crash, and crash PartCrashes.
package medlarverdict

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"medlarfield/internal/stand/medlarsoak"
)

// Rule is what a record is checked for.
type Rule string

// Rules.
const (
	RuleRefused Rule = "refused" // R1
	RuleOnce    Rule = "once"    // R2
	RuleOwn     Rule = "own"     // R3
	RuleWhole   Rule = "whole"   // R4
	RuleOrder   Rule = "order"   // R5
	RuleAlive   Rule = "alive"   // R6
	RuleRecover Rule = "recover" // R7
	RulePlayed  Rule = "played"  // R8
	RuleBudget  Rule = "budget"  // R9
	RuleTries   Rule = "tries"   // R10
	RuleTime    Rule = "time"    // R11
	RuleBuild   Rule = "build"   // R12
	RulePause   Rule = "pause"   // R13
	RuleRequest Rule = "request" // R14
	RulePart    Rule = "part"    // R15
)

// Violation is a case in which a rule is broken.
type Violation struct {
	Rule   Rule
	ID     string // of the request; empty if it is about none
	Detail string
}

// Return is a time from which the service had to recover.
type Return struct {
	What medlarsoak.Happening
	At   int64         // Unix ms
	Took time.Duration // until nine tenths were served; negative for never
}

// Result is the judgement of a record.
type Result struct {
	Violations             []Violation
	Calls, Served, Refused int
	Runs                   int
	Repeats                int // arrivals beyond the first of each request
	Resumed, WentOn        int // requests that take a stream up, and those of them that brought an event
	Returns                []Return
	Pauses, Excused        int      // pauses that replicas asked for, and those of them whose instance was disturbed
	InPauses               int      // arrivals that R13 counts
	Crashes, LateDeadly    int      // of replicas under requests, and arrivals that R14 and R15 count
	Worst                  []Window // by service (R9)
	OverAttempts           int      // requests that ran on more replicas than their routes have attempts (R10)
	LateAgain, TooLong     int      // arrivals that R11 counts, and those of them that were told too much time
}

// Check judges records.
func Check(r medlarsoak.Records) Result {
	res := Result{Calls: len(r.Calls), Runs: len(r.Runs)}
	runs := map[string]int{} // by request; those that resume a stream too
	for _, run := range r.Runs {
		runs[run.ID]++
	}
	for _, c := range r.Calls {
		if c.Served() {
			res.Served++
		}
		if c.Refused() {
			res.Refused++
		}
		res.checkCall(c, runs[c.ID])
	}
	res.checkProcesses(r.Processes)
	res.checkReturns(r)
	res.checkBudget(r, medlarsoak.PrefixRead, medlarsoak.PrefixPost)
	res.checkBudget(r, medlarsoak.PrefixLetter, medlarsoak.PrefixQuery)
	res.checkTries(r.Runs)
	res.checkTimes(r)
	res.checkBuilds(r.Calls)
	res.checkPauses(r)
	res.checkDeadly(r, RuleRequest, medlarsoak.DeadlyRequest, RequestCrashes)
	res.checkDeadly(r, RulePart, medlarsoak.DeadlyPart, PartCrashes)
	return res
}

func (res *Result) broken(rule Rule, id, format string, args ...any) {
	res.Violations = append(res.Violations, Violation{rule, id, fmt.Sprintf(format, args...)})
}

// brokenBy adds a violation by the response to a call.
func (res *Result) brokenBy(rule Rule, c *medlarsoak.Call, format string, args ...any) {
	res.broken(rule, c.ID, "%s at %s %s", c.Path, c.Instance, fmt.Sprintf(format, args...))
}

// checkCall checks what a caller saw of a request that ran a number of times.
func (res *Result) checkCall(c *medlarsoak.Call, runs int) {
	if c.Refused() && runs > 0 {
		res.brokenBy(RuleRefused, c, "was refused with %d as not run, and ran %d times", c.Status, runs)
	}
	if medlarsoak.RunsOnce(c.Path) && runs > 1 {
		res.brokenBy(RuleOnce, c, "ran %d times; the caller got %d", runs, c.Status)
	}
	if c.Status != 0 && c.Answers != "" && c.Answers != c.ID {
		res.brokenBy(RuleOwn, c, "names (status %d) %q", c.Status, c.Answers)
	}
	if c.Status != 200 {
		if strings.Contains(c.Body, "answer to ") || strings.Contains(c.Body, "data: ") {
			res.brokenBy(RuleOwn, c, "holds (status %d) %.300q", c.Status, c.Body)
		}
		return
	}
	if runs == 0 {
		res.brokenBy(RuleOwn, c, "was answered, and no replica ran it")
	}
	res.checkBody(c)
}

// checkBody checks the body of a response with 200, as far as it arrived.
func (res *Result) checkBody(c *medlarsoak.Call) {
	got, want := c.Content(), c.Whole()
	switch {
	case got == want:
	case strings.HasPrefix(want, got):
		if c.Ended {
			res.brokenBy(RuleWhole, c, "ended as if it were whole after %d of %d bytes", len(got), len(want))
		}
	case medlarsoak.Streams(c.Path) && ownEvents(got, c.ID):
		res.brokenBy(RuleOrder, c, "has events that are missing, repeated or not in order: %.300q", c.Body)
	default:
		res.brokenBy(RuleOwn, c, "holds what is not of the request: %.300q", c.Body)
	}
}

// ownEvents reports whether a body consists of events of its own stream and the beginning of another one, in any order.
func ownEvents(body, id string) bool {
	events := strings.SplitAfter(body, "\n\n")
	for i, e := range events {
		own := func(n int) bool {
			return e == medlarsoak.Event(n, id) || i == len(events)-1 && strings.HasPrefix(medlarsoak.Event(n, id), e)
		}
		if !slices.ContainsFunc([]int{1, 2, 3, 4, 5, 6, 7, 8}, own) {
			return false
		}
	}
	return true
}

func (res *Result) checkProcesses(all []medlarsoak.Process) {
	for _, p := range all {
		switch {
		case p.What == medlarsoak.Died:
			res.broken(RuleAlive, "", "instance %s ended by itself at %d", strings.Join(p.Args, " "), p.At)
		case p.What == medlarsoak.Failed:
			res.broken(RulePlayed, "", "a step failed at %d: %s", p.At, strings.Join(p.Args, " "))
		case p.What == medlarsoak.Exit && !slices.Equal(p.Args[1:], []string{"0"}):
			res.broken(RuleAlive, "", "instance %s ended with code %s after SIGTERM at %d", p.Args[0], strings.Join(p.Args[1:], " "), p.At)
		}
	}
}

// checkReturns determines how long the service took to recover.
func (res *Result) checkReturns(r medlarsoak.Records) {
	calm := false
	for _, p := range r.Processes {
		if p.What != medlarsoak.Back && p.What != medlarsoak.Calm {
			continue
		}
		took := medlarsoak.UntilRecovered(r.Calls, time.UnixMilli(p.At))
		res.Returns = append(res.Returns, Return{p.What, p.At, took})
		if took > medlarsoak.RecoverBound || p.What == medlarsoak.Calm && took < 0 {
			res.broken(RuleRecover, "", "after %s at %d nine tenths of first tries were served after %v", p.What, p.At, took)
		}
		calm = calm || p.What == medlarsoak.Calm
	}
	if !calm {
		res.broken(RulePlayed, "", "the schedule did not come to its end")
	}
}

// shown is the number of violations of each rule that are written.
const shown = 5

// Print writes a result.
func (res *Result) Print(w io.Writer) {
	share := float64(res.Served) / float64(max(res.Calls, 1))
	_, _ = fmt.Fprintf(w, "calls %d, served %.2f, refused as not run %d, runs %d, repeats %d, streams taken up %d, of these went on %d\n", res.Calls, share, res.Refused, res.Runs, res.Repeats, res.Resumed, res.WentOn)
	if res.Pauses > 0 || res.Crashes > 0 {
		_, _ = fmt.Fprintf(w, "pauses %d, excused %d, arrivals in the others %d, crashes under requests %d, late arrivals of these %d\n", res.Pauses, res.Excused, res.InPauses, res.Crashes, res.LateDeadly)
	}
	for _, b := range res.Worst {
		_, _ = fmt.Fprintf(w, "most in %v at %v: %d arrivals beyond the first for %d requests, %.0f allowed\n", BudgetWindow, b.Prefixes, b.Repeats, b.Requests, b.allowed())
	}
	_, _ = fmt.Fprintf(w, "more replicas than attempts: %d requests; again late or told too much time: %d arrivals, told too much: %d\n", res.OverAttempts, res.LateAgain, res.TooLong)
	for _, r := range res.Returns {
		_, _ = fmt.Fprintf(w, "%s: nine tenths served after %v\n", r.What, r.Took)
	}
	broken := map[Rule]int{}
	for _, v := range res.Violations {
		if broken[v.Rule]++; broken[v.Rule] <= shown {
			_, _ = fmt.Fprintf(w, "BROKEN %s %s: %s\n", v.Rule, v.ID, v.Detail)
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(broken)) {
		_, _ = fmt.Fprintf(w, "%s: broken %d times\n", rule, broken[rule])
	}
}
