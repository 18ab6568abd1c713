package medlarsum

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"

	"medlarfield/internal/base/medlarid"
)

// groupID identifies a group: a zone and an index in it (R1).
type groupID struct {
	zone  medlarid.Zone
	index int
}

// rankKey identifies a ranking of collectors.
type rankKey struct {
	group groupID
	span  span
}

// layout is how a set of instances is divided into groups.
type layout struct {
	group  groupID         // of this instance
	groups map[groupID]int // number of members
	order  []groupID       // the keys of groups, the same for all instances
	known  map[medlarid.InstanceID]bool
	zones  map[medlarid.Zone][]medlarid.InstanceID
	ranks  map[rankKey][]medlarid.InstanceID // computed when they are first needed
}

// newLayout returns the layout of members, of which the last one is this instance.
func newLayout(members []Member) layout {
	l := layout{groups: map[groupID]int{}, known: map[medlarid.InstanceID]bool{}, zones: map[medlarid.Zone][]medlarid.InstanceID{}, ranks: map[rankKey][]medlarid.InstanceID{}}
	for _, m := range members {
		l.known[m.ID] = true
		l.zones[m.Zone] = append(l.zones[m.Zone], m.ID)
	}
	for zone, ids := range l.zones {
		for i := range max(int(math.Round(float64(len(ids))/math.Sqrt(float64(len(members))))), 1) {
			l.groups[groupID{zone, i}] = 0
		}
	}
	l.order = slices.SortedFunc(maps.Keys(l.groups), func(a, b groupID) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.index, b.index))
	})
	for _, m := range members {
		l.group = l.groupOf(m)
		l.groups[l.group]++
	}
	return l
}

// groupOf returns the group of a member (R1). If a group is added or removed, only the members that it gains or
// loses change their group.
func (l *layout) groupOf(m Member) groupID {
	best, highest := groupID{zone: m.Zone}, uint64(0)
	for i := 0; ; i++ {
		g := groupID{m.Zone, i}
		if _, ok := l.groups[g]; !ok {
			return best
		}
		if r := rankOf(g, span{}, m.ID); r >= highest {
			best, highest = g, r
		}
	}
}

// rank returns the instances of a group's zone, ranked as collectors of the group (R5). Instances outside the group are among
// them, so that the loss of some members does not leave it without a collector.
func (l *layout) rank(g groupID, s span) []medlarid.InstanceID {
	k := rankKey{g, s}
	if out, ok := l.ranks[k]; ok {
		return out
	}
	out := slices.Clone(l.zones[g.zone])
	slices.SortFunc(out, func(a, b medlarid.InstanceID) int {
		return cmp.Or(cmp.Compare(rankOf(g, s, b), rankOf(g, s, a)), cmp.Compare(a, b))
	})
	l.ranks[k] = out
	return out
}

// rankOf returns the rank of an instance for a group and a range, by rendezvous hashing.
func rankOf(g groupID, s span, id medlarid.InstanceID) uint64 {
	b := append([]byte(g.zone), 0)
	b = binary.AppendUvarint(b, uint64(g.index))
	b = binary.AppendUvarint(b, uint64(s.ranges))
	b = binary.AppendUvarint(b, uint64(s.index))
	return xxh3.HashSeed([]byte(id), xxh3.Hash(b))
}
