// Package medlarsubset chooses the replicas of a service that an instance of a large fleet usually sends its requests to,
// so that it sends the next one to the same replica before the connection there has been idle for too long.
//
// Rules:
//
//	R1  The size of a subset follows from the instance's own rate of requests: each replica gets about perIdle requests
//	    within the time for which a connection stays idle. It is at least minSize, at most all replicas.
//	R2  Sizes are rounded up to one of a few, and shrink only once the next smaller one is enough by a margin: a change of
//	    size opens and closes connections.
//	R3  An instance's replicas are the first ones by rendezvous hashing that are not full. To know which are, an
//	    instance chooses for all instances, in the order of their hashes, as if they had subsets of its size. A replica is full when
//	    it is in overload times as many subsets as it is on average.
//	R4  Instances whose subsets have different sizes find different replicas full. R3 spreads only the subsets of one size
//	    evenly; the sum over all sizes is about even too.
//	R5  When an instance or a replica joins or leaves, few replicas of an instance change: those that it loses, and those
//	    that become full, or no longer are.
package medlarsubset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
)

// Parameters of the rules.
const (
	// connectionIdle is how long the pool keeps an idle connection to a replica that announces no time (medlarpool).
	connectionIdle = 2 * time.Second
	perIdle        = 2.0 // R1
	minSize        = 4   // R1: for retries, and while some replicas leave
	overload       = 1.1 // R3: 1.25 puts the most used replicas into a seventh more subsets, with 1.05 more of a subset changes (R5)
	shrinkMargin   = 0.8 // R2: the next smaller size has to be enough for a rate that is higher by a quarter
)

// Size returns the size of the subset for a number of requests per second, where former is the present size or 0 (R1, R2).
func Size(rate float64, replicas, former int) int {
	need := rate * connectionIdle.Seconds() / perIdle
	size := roundUp(need)
	if size < former && need > shrinkMargin*float64(below(former)) {
		size = former
	}
	return min(size, replicas)
}

// roundUp returns the least size that is enough. Sizes are minSize, one and a half times that, twice that and so on.
func roundUp(need float64) int {
	size := minSize
	for float64(size) < need {
		size = above(size)
	}
	return size
}

// above returns the next larger size.
func above(size int) int {
	if size&(size-1) == 0 { // a power of two
		return size + size/2
	}
	return size / 3 * 4
}

// below returns the largest size that is less than a number, or minSize.
func below(n int) int {
	size := minSize
	for above(size) < n {
		size = above(size)
	}
	return size
}

// Choose returns the subset of an instance among replicas (R3). instances are all instances, self among them.
func Choose(self medlarid.InstanceID, instances, replicas []medlarid.InstanceID, size int) []medlarid.InstanceID {
	if size >= len(replicas) {
		return replicas
	}
	order := make([]ranked, len(instances))
	for i, id := range instances {
		order[i] = ranked{rank: xxh3.HashString(string(id)), index: i}
	}
	slices.SortFunc(order, compareRanks)
	hashes := make([]uint64, len(replicas))
	for i, id := range replicas {
		hashes[i] = xxh3.HashString(string(id))
	}
	full := int(math.Ceil(overload * float64(len(instances)*size) / float64(len(replicas))))
	counts := make([]int, len(replicas))
	free := make([]ranked, 0, len(replicas))
	for _, o := range order {
		free = free[:0]
		for i, h := range hashes {
			if counts[i] < full {
				free = append(free, ranked{rank: mix(o.rank, h), index: i})
			}
		}
		chosen := highest(free, size)
		if instances[o.index] == self {
			out := make([]medlarid.InstanceID, len(chosen))
			for i, c := range chosen {
				out[i] = replicas[c.index]
			}
			return out
		}
		for _, c := range chosen {
			counts[c.index]++
		}
	}
	return replicas // the instance is not among the instances
}

// ranked is an entry of a list by rank.
type ranked struct {
	rank  uint64
	index int
}

func compareRanks(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.index, b.index))
}

// highest returns the entries with the highest ranks. It reorders the list.
func highest(list []ranked, n int) []ranked {
	if n >= len(list) {
		return list
	}
	// Ranks are evenly distributed: nearly all entries with one of the highest ranks are above this bound.
	bound := uint64(float64(math.MaxUint64) * (1 - min(2*float64(n)/float64(len(list))+4/float64(len(list)), 1)))
	kept := 0
	for i := range list {
		if list[i].rank >= bound {
			list[i], list[kept] = list[kept], list[i]
			kept++
		}
	}
	if kept < n {
		kept = len(list)
	}
	slices.SortFunc(list[:kept], compareRanks)
	return list[:n]
}

// mix returns the rank of a replica for an instance.
func mix(instance, replica uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h := (instance ^ replica) * multiplier
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
