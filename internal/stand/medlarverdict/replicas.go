package medlarverdict

import (
	"slices"

	"medlarfield/internal/stand/medlarsoak"
)

// Bounds of R13 to R15, as the users' pages state them.
const (
	OverPause      = 2 // arrivals
	RequestCrashes = 3
	PartCrashes    = 5
	OverDeadly     = 3 // arrivals
)

// checkPauses checks what reaches replicas that want no requests from an instance (R13).
func (res *Result) checkPauses(r medlarsoak.Records) {
	d := disturbances{r}
	res.Pauses = len(r.Pauses)
	for _, p := range r.Pauses {
		from, to := p.At+pauseGrace, p.At+p.Pause
		if d.during(p.Instance, p.At, to) {
			res.Excused++
			continue
		}
		n := 0
		for _, a := range r.Arrivals {
			if a.Instance == p.Instance && a.Replica == p.Replica && a.At > from && a.At < to {
				n++
			}
		}
		res.InPauses += n
		if n > OverPause {
			res.broken(RulePause, p.ID, "%d requests reached %s from %s in the pause of %d ms that it asked for at %d", n, p.Replica, p.Instance, p.Pause, p.At)
		}
	}
}

// checkDeadly checks how many requests under which replicas crash reach replicas once they have crashed enough
// (R14, R15).
func (res *Result) checkDeadly(r medlarsoak.Records, rule Rule, kind medlarsoak.Deadly, crashes int) {
	var crashed []string
	var settled int64 // time of the last crash that is needed to know what is deadly
	for _, run := range byTime(r.Runs) {
		if run.Deadly != kind || slices.Contains(crashed, run.Replica) {
			continue
		}
		if crashed = append(crashed, run.Replica); len(crashed) == crashes {
			settled = run.At
		}
	}
	res.Crashes += len(crashed)
	if settled == 0 {
		return
	}
	d := disturbances{r}
	n, id := 0, ""
	for _, a := range byTime(r.Arrivals) {
		if a.Deadly == kind && a.At > settled+stableWindow && d.inTouch(a.Instance, a.At) {
			n, id = n+1, a.ID
		}
	}
	res.LateDeadly += n
	if n > OverDeadly {
		res.broken(rule, id, "%d arrivals by instances in touch later than %d ms after crash %d at %d; %d replicas crashed", n, stableWindow, crashes, settled, len(crashed))
	}
}
