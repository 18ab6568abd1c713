package medlarverdict

import (
	"slices"
	"strings"
	"time"

	"medlarfield/internal/stand/medlarsoak"
)

// Bounds of R9 to R11, as the users' pages state them for a deployment of this size.
const (
	BudgetWindow = 10 * time.Second
	BudgetRatio  = 0.2
	BudgetSlack  = 52 // arrivals
	OverAttempts = 3  // requests
	OverTime     = 20 // arrivals
)

const (
	overTimeShare = 0.2 // of the arrivals that are told too much time or come again late
	timeSlackMs   = 500 // between what replicas are told and what is left
)

// checkBudget checks the arrivals beyond the first of each request for a service, whose routes have the given prefixes (R9).
func (res *Result) checkBudget(r medlarsoak.Records, prefixes ...string) {
	ofService := func(path string) bool {
		return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(path, p) })
	}
	var sent []int64
	for _, c := range r.Calls {
		if ofService(c.Path) {
			sent = append(sent, c.At)
		}
	}
	slices.Sort(sent)
	repeats := repeatTimes(r.Arrivals, ofService)
	res.Repeats += len(repeats)
	const window = int64(BudgetWindow / time.Millisecond)
	worst := Window{Prefixes: prefixes}
	for i, end := range repeats {
		w := Window{Prefixes: prefixes, End: end, Repeats: i + 1 - countBefore(repeats, end-window)}
		w.Requests = max(between(sent, end-window, end), between(sent, end-window*3/2, end-window/2), between(sent, end-2*window, end-window))
		if worst.End == 0 || w.over() > worst.over() {
			worst = w
		}
	}
	res.Worst = append(res.Worst, worst)
	if worst.over() > 0 {
		res.broken(RuleBudget, "", "%v: %d arrivals beyond the first of each request in the %v before %d, for %d requests", prefixes, worst.Repeats, BudgetWindow, worst.End, worst.Requests)
	}
}

// Window is the time before End of which most is used of what R9 allows a service.
type Window struct {
	Prefixes          []string // of the service's routes
	End               int64    // Unix ms; 0 if no request arrived once more
	Repeats, Requests int      // arrivals beyond the first of each request, and requests that they are measured by
}

// allowed returns the number of arrivals beyond the first that R9 allows.
func (w *Window) allowed() float64 { return BudgetRatio*float64(w.Requests) + BudgetSlack }

// over returns how many arrivals there are more than R9 allows; negative if there are fewer.
func (w *Window) over() float64 { return float64(w.Repeats) - w.allowed() }

// repeatTimes returns the times of the arrivals beyond the first of each request, the earliest first.
func repeatTimes(arrivals []medlarsoak.Run, ofService func(path string) bool) []int64 {
	arrived := map[string]bool{}
	var out []int64
	for _, a := range byTime(arrivals) {
		if arrived[a.ID] && ofService(a.Path) {
			out = append(out, a.At)
		}
		arrived[a.ID] = true
	}
	return out
}

func byTime(runs []medlarsoak.Run) []medlarsoak.Run {
	return slices.SortedStableFunc(slices.Values(runs), func(a, b medlarsoak.Run) int { return int(a.At - b.At) })
}

// checkTries checks on how many replicas requests ran (R10). Replicas that ended meanwhile count as well.
func (res *Result) checkTries(runs []medlarsoak.Run) {
	replicas := map[string][]string{} // by request
	var over []string
	for _, run := range byTime(runs) {
		if run.Most == 0 || slices.Contains(replicas[run.ID], run.Replica) {
			continue
		}
		replicas[run.ID] = append(replicas[run.ID], run.Replica)
		if len(replicas[run.ID]) > run.Most && !slices.Contains(over, run.ID) {
			over = append(over, run.ID)
		}
	}
	res.OverAttempts = len(over)
	if len(over) > OverAttempts {
		res.broken(RuleTries, over[0], "%d requests ran on more replicas than their routes have attempts", len(over))
	}
}

// checkTimes checks what replicas were told of the time that plain requests have left (R11).
func (res *Result) checkTimes(r medlarsoak.Records) {
	ends := map[string]int64{} // of the callers' patience, in Unix ms
	for _, c := range r.Calls {
		ends[c.ID] = c.At + medlarsoak.RequestTimeout.Milliseconds()
	}
	first := map[string]medlarsoak.Run{}
	counted, tooLong := 0, 0 // arrivals that were told too much, with those over timeSlackMs after the first and without
	for _, a := range byTime(r.Arrivals) {
		end, known := ends[a.ID]
		if medlarsoak.Streams(a.Path) || !known {
			continue
		}
		f, again := first[a.ID]
		if !again {
			first[a.ID] = a
		}
		late := again && a.At > f.At+timeSlackMs
		over := a.Left <= 0 || a.Left > medlarsoak.RequestTimeout.Milliseconds()+timeSlackMs || late && a.At+a.Left > max(end, f.At+f.Left)+timeSlackMs
		if over {
			tooLong++
		}
		if over || late {
			counted++
		}
	}
	res.LateAgain, res.TooLong = counted, tooLong
	if tooLong > OverTime && float64(tooLong) > overTimeShare*float64(counted) {
		res.broken(RuleTime, "", "%d arrivals were told more time than was left, %d were so or came again late", tooLong, counted)
	}
}

// between returns how many of the sorted times are after from and not after to.
func between(times []int64, from, to int64) int {
	return countBefore(times, to+1) - countBefore(times, from+1)
}

// countBefore returns how many of the sorted times are before at.
func countBefore(times []int64, at int64) int {
	n, _ := slices.BinarySearch(times, at)
	return n
}
