package medlaradmission

import (
	"cmp"
	"slices"
	"time"

	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
)

// queueWait estimates how long a new run waits in the queue. It counts the runs of its target before
// its position, which for an account with few requests is far from the end (R3).
func (s *System) queueWait(w *medlarworld.World, r *medlarworld.Run) time.Duration {
	return s.throughput.Wait(r.Target(), runsAhead(w, r))
}

// position returns the number of waiting runs before a run's place in the queue.
func position(w *medlarworld.World, r *medlarworld.Run) int {
	i, _ := slices.BinarySearchFunc(w.Waiting, r, func(a, b *medlarworld.Run) int { return compareRuns(w, a, b) })
	return i
}

// runsAhead returns the number of waiting runs before a run's place in the queue that have the same
// target.
func runsAhead(w *medlarworld.World, r *medlarworld.Run) int {
	n := 0
	for _, other := range w.Waiting[:position(w, r)] {
		if other.Target() == r.Target() {
			n++
		}
	}
	return n
}

// evictForRoom refuses the last run of the account with the largest weighted share
// of the queue, unless that account is a itself (R4).
func evictForRoom(w *medlarworld.World, a *medlarworld.Account) bool {
	i := lastOfHeaviest(w, a)
	if i < 0 {
		return false
	}
	r := w.Waiting[i]
	w.Waiting = slices.Delete(w.Waiting, i, i+1)
	w.Refuse(r, medlarreason.Overload, minRetryAfter)
	return true
}

// lastOfHeaviest returns the place of the run that evictForRoom refuses; -1 for none. A run that reached an upstream or was
// claimed is never refused for this.
func lastOfHeaviest(w *medlarworld.World, a *medlarworld.Account) int {
	shares := map[*medlarworld.Account]float64{}
	for _, r := range w.Waiting {
		if b := w.Accounts[r.Account]; b != nil {
			shares[b] += 1 / weightOf(b)
		}
	}
	heaviest, largest := a, shares[a]+1/weightOf(a)
	for b, share := range shares {
		if share > largest || share == largest && b.ID < heaviest.ID && heaviest != a {
			heaviest, largest = b, share
		}
	}
	if heaviest == a {
		return -1
	}
	for i := len(w.Waiting) - 1; i >= 0; i-- {
		if r := w.Waiting[i]; r.Account == heaviest.ID && !r.Reached && !r.Claimed {
			return i
		}
	}
	return -1
}

// Enqueue inserts a run at its position in the queue (R3).
func Enqueue(w *medlarworld.World, r *medlarworld.Run) {
	r.Phase = medlarkind.PhaseWaiting
	w.Waiting = slices.Insert(w.Waiting, position(w, r), r)
}

func compareRuns(w *medlarworld.World, a, b *medlarworld.Run) int {
	return cmp.Or(
		compareLate(a, b),
		cmp.Compare(priorityOf(w, b), priorityOf(w, a)),
		cmp.Compare(a.VirtualStart, b.VirtualStart),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareLate orders runs that can still be in time before late ones (R8).
func compareLate(a, b *medlarworld.Run) int {
	switch {
	case a.Late == b.Late:
		return 0
	case b.Late:
		return -1
	}
	return 1
}

// demoteLate moves runs that can no longer be in time behind those that can (R8), and refuses those that
// would wait past their deadline there (R5).
func (s *System) demoteLate(w *medlarworld.World) {
	for i := 0; i < len(w.Waiting); i++ {
		r := w.Waiting[i]
		if r.Late || r.StartBy.IsZero() || !w.Now.After(r.StartBy) {
			continue
		}
		w.Waiting = slices.Delete(w.Waiting, i, i+1)
		i--
		r.Late = true
		if !s.refuseLate(w, r, lateAhead(w, r)) {
			Enqueue(w, r)
		}
	}
	s.refuseLateRuns(w)
}

// lateAhead returns the number of late runs of a late run's target that are before its place in the queue.
func lateAhead(w *medlarworld.World, r *medlarworld.Run) int {
	n := 0
	for _, other := range w.Waiting[:position(w, r)] {
		if other.Late && other.Target() == r.Target() {
			n++
		}
	}
	return n
}

// refuseLate refuses a late run if it would wait past its deadline behind others.
func (s *System) refuseLate(w *medlarworld.World, r *medlarworld.Run, ahead int) bool {
	wait := s.throughput.LateWait(r.Target(), ahead)
	if !w.Now.Add(wait).After(latestStart(r)) {
		return false
	}
	w.Refuse(r, medlarreason.Deadline, clampRetryAfter(wait))
	return true
}

// refuseLateRuns refuses the late runs in the queue for which there is no hope any longer.
func (s *System) refuseLateRuns(w *medlarworld.World) {
	if w.Now.Before(s.lateAt) {
		return
	}
	s.lateAt = w.Now.Add(lateInterval)
	ahead := map[medlarupstream.Target]int{}
	kept := w.Waiting[:0]
	for _, r := range w.Waiting {
		if r.Late && !r.Reached && s.refuseLate(w, r, ahead[r.Target()]) {
			continue
		}
		if r.Late {
			ahead[r.Target()]++
		}
		kept = append(kept, r)
	}
	clear(w.Waiting[len(kept):])
	w.Waiting = kept
}

func priorityOf(w *medlarworld.World, r *medlarworld.Run) int {
	if a := w.Accounts[r.Account]; a != nil {
		return int(a.Limits.Priority + r.Priority)
	}
	return int(r.Priority)
}

// expire refuses the runs that have waited too long (R6), those whose upstreams are all evacuated (R11), and all when the
// instance ends (R1).
func expire(w *medlarworld.World) {
	for i := 0; i < len(w.Waiting); i++ {
		r := w.Waiting[i]
		late := w.Now.After(latestStart(r))
		waitedTooLong := w.Config.MaxWait > 0 && r.Attempt == 0 && w.Now.Sub(r.Arrived) > w.Config.MaxWait
		evacuated := len(w.Evacuated) > 0 && w.AllEvacuated(r.Target())
		if !late && !waitedTooLong && !w.Ending && !evacuated {
			continue
		}
		w.Waiting = slices.Delete(w.Waiting, i, i+1)
		i--
		reason := medlarreason.Deadline
		switch {
		case r.Reached:
			reason = medlarreason.Failed
		case w.Ending:
			reason = medlarreason.Draining
		case evacuated:
			reason = medlarreason.Evacuated
		}
		w.Refuse(r, reason, minRetryAfter)
	}
}

func remove(w *medlarworld.World, r *medlarworld.Run) {
	if i := slices.Index(w.Waiting, r); i >= 0 {
		w.Waiting = slices.Delete(w.Waiting, i, i+1)
	}
}
