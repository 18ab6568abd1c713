package medlarsoak

import (
	"slices"
	"strings"
	"time"
)

// Bounds of R9, as the users' pages state them for a deployment of this size.
const (
	BudgetWindow = 10 * time.Second
	BudgetRatio  = 0.2
	BudgetSlack  = 52 // runs
)

// checkBudget checks the runs beyond the first of each request for a service, whose routes have the given prefixes (R9).
func (res *Result) checkBudget(r Records, prefixes ...string) {
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
	repeats := repeatTimes(r.Runs, ofService)
	res.Repeats += len(repeats)
	const window = int64(BudgetWindow / time.Millisecond)
	for i, end := range repeats {
		n := i + 1 - countBefore(repeats, end-window)
		requests := max(between(sent, end-window, end), between(sent, end-window*3/2, end-window/2), between(sent, end-2*window, end-window))
		if float64(n) > BudgetRatio*float64(requests)+BudgetSlack {
			res.broken(RuleBudget, "", "%v: %d runs beyond the first of each request in the %v before %d, for %d requests", prefixes, n, BudgetWindow, end, requests)
			return
		}
	}
}

// repeatTimes returns when runs beyond the first of each request began, the earliest first.
func repeatTimes(runs []Run, ofService func(path string) bool) []int64 {
	sorted := slices.SortedFunc(slices.Values(runs), func(a, b Run) int { return int(a.At - b.At) })
	ran := map[string]bool{}
	var out []int64
	for _, run := range sorted {
		if ran[run.ID] && ofService(run.Path) {
			out = append(out, run.At)
		}
		ran[run.ID] = true
	}
	return out
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
