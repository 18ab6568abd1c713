// Package medlarsum adds up the load that the instances of a large fleet put on upstreams, at an average cost for each
// instance that does not grow with the fleet. It decides what is sent to whom, and does no I/O.
//
// Rules:
//
//	R1  The instances of an availability zone form groups by rendezvous hashing, about as many in all zones together as
//	    the square root of the number of instances. So reports and totals stay within a zone.
//	R2  The hashes of upstreams are divided into ranges of about maxUpstreams upstreams. Each range of each group has a
//	    collector of its own, so that a large fleet of upstreams does not burden a few collectors.
//	R3  An instance that has had attempts in flight within activeFor sends a report for each range to its collector: the
//	    attempts that it has in flight, or an empty one. Totals are sent only to instances that report.
//	R4  A collector sends the sum of its members' reports, a partial sum, to the collectors of the same range in other
//	    groups, and to those that have sent it one: they may know a different fleet. It sends the sum
//	    of all partial sums, a total, to its members.
//	R5  Collectors are ranked by rendezvous hashing. One that does not answer for silence is passed over for the next
//	    one, and is asked again each probeInterval. This is local knowledge: instances that choose
//	    different collectors for a group still get the same totals, as a collector keeps partial sums by their sender.
//	R6  A report is counted by one collector only, which its sender chooses. A sender that changes to another collector
//	    takes its report back from the former one, which may be alive.
//	R7  A sum has the age of its oldest report. A report counts for reportTTL, a partial sum until it is partialTTL old,
//	    a total until it is TotalTTL old. An instance that stops is thus gone from all sums after TotalTTL, and does not
//	    make the sums of others expire.
//	R8  A total contains what its receiver has reported itself. It states which report was counted, and the
//	    receiver subtracts just that one. After a change of collector its former report may count once more until the
//	    former collector's next partial sum arrives, or for partialTTL if what R6 sends gets lost.
//	R9  A sum has a bounded size. If it does not fit, upstreams with few attempts are left out.
//	R10 An instance that was suspended does not take its own pause for the silence of others.
package medlarsum

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarload"
)

// Times and bounds of the rules.
const (
	Interval = 100 * time.Millisecond // between two reports, and between two sums of a collector

	activeFor     = 10 * time.Second       // R3
	silence       = 300 * time.Millisecond // R5
	probeInterval = time.Second            // R5
	resendAfter   = 150 * time.Millisecond // a report that its instance has not renewed is sent again
	maxTickGap    = 250 * time.Millisecond // longer means that this instance was suspended (R10)

	reportTTL  = 250 * time.Millisecond // R7: one report may get lost
	partialTTL = 400 * time.Millisecond // R7: one partial sum that contains an old report may get lost
	TotalTTL   = 600 * time.Millisecond // R7: one total that contains an old partial sum may get lost

	maxUpstreams = 100 // upstreams in a range, on average (R2); about 150 fit into a message
	maxRanges    = 64
	maxBytes     = 1200 // of the loads of a message, which leaves 200 for ids (R9)
	maxHistory   = 16   // own reports that are kept, more than can be counted (R8)
)

// Kind is the kind of a message.
type Kind int

// Kinds of message.
const (
	KindReport  Kind = 1 // the load of one instance, to its collector
	KindPartial Kind = 2 // the sum of a collector's members, to other collectors
	KindTotal   Kind = 3 // the sum of all instances' loads, to a member
)

// Message is one message between two instances.
type Message struct {
	Kind   Kind
	Ranges int // number of ranges that the sender divides the hashes into
	Range  int // of the loads, from 0 on
	// Age is the age of a report, or of the oldest report in a sum.
	Age time.Duration
	// Report is the number of a report, or the report of its receiver that a total counts; 0 for none.
	Report uint64
	// Members is the number of reports in a partial sum.
	Members int
	Loads   []medlarload.Load
}

// Member is another instance.
type Member struct {
	ID   medlarid.InstanceID
	Zone medlarid.Zone
}

// Total is the load that all other instances put on the upstreams of a range.
type Total struct {
	Ranges, Range int
	Age           time.Duration // of the oldest report in it
	Loads         []medlarload.Load
}

// Deps are what a Node depends on.
type Deps struct {
	Self medlarid.InstanceID
	Zone medlarid.Zone
	// FirstReport is the number of the first report. It differs with each start of the instance.
	FirstReport uint64
	Send        func(to medlarid.InstanceID, m Message)
	OnTotal     func(Total)
}

// Node is the state of one instance. It is not safe for concurrent use.
type Node struct {
	deps   Deps
	layout layout

	ranges     int // of own reports
	loads      []medlarload.Load
	reportedAt time.Time // of loads
	activeAt   time.Time // when this instance last had attempts in flight
	sentAt     time.Time // of the last own reports
	report     uint64    // number of the last own report
	own        map[span]*ownRange

	collected map[span]*collection
	tickedAt  time.Time
	suspects  map[medlarid.InstanceID]time.Time // collectors that do not answer, and when they were last asked (R5)
}

// span is a range of hashes.
type span struct{ ranges, index int }

// ownRange is a range of this instance's own reports.
type ownRange struct {
	collector medlarid.InstanceID
	since     time.Time // when the collector was chosen or has last answered
	history   []sentReport
}

// sentReport is a report that was sent.
type sentReport struct {
	number uint64
	loads  []medlarload.Load
}

// collection is what a collector knows of a range.
type collection struct {
	reports  map[medlarid.InstanceID]report
	partials map[medlarid.InstanceID]partial
	asked    map[medlarid.InstanceID]time.Time // collectors of other groups, and when they were first sent a sum or have last answered
}

// report is the latest report of a member.
type report struct {
	at     time.Time
	number uint64
	loads  []medlarload.Load
}

// partial is the latest sum of another collector.
type partial struct {
	at       time.Time // when it arrived
	reportAt time.Time // of its oldest report
	loads    []medlarload.Load
}

// New returns a Node that knows no other instances.
func New(deps Deps) *Node {
	n := &Node{
		deps: deps, report: deps.FirstReport, ranges: 1, own: map[span]*ownRange{}, collected: map[span]*collection{}, suspects: map[medlarid.InstanceID]time.Time{},
	}
	n.SetMembers(nil)
	return n
}

// SetMembers sets the other instances.
func (n *Node) SetMembers(others []Member) {
	n.layout = newLayout(append(slices.Clone(others), Member{ID: n.deps.Self, Zone: n.deps.Zone}))
	maps.DeleteFunc(n.suspects, func(id medlarid.InstanceID, _ time.Time) bool { return !n.layout.known[id] })
}

// Ranges returns the number of ranges for a number of upstreams (R2): a power of two, so that it rarely changes.
func Ranges(upstreams int) int {
	r := 1
	for r < maxRanges && upstreams > r*maxUpstreams {
		r *= 2
	}
	return r
}

// rangeOf returns the range of a hash.
func rangeOf(h medlarid.Hash, ranges int) int { return int(uint64(h) * uint64(ranges) >> 32) }

// Report reports the load that this instance puts on upstreams, of a fleet with a number of them (R3).
func (n *Node) Report(now time.Time, loads []medlarload.Load, upstreams int) {
	n.ranges, n.loads, n.reportedAt = Ranges(upstreams), loads, now
	if len(loads) > 0 {
		n.activeAt = now
	}
	if now.Sub(n.activeAt) <= activeFor {
		n.sendReports(now)
	}
}

// Tick renews own reports and sends sums. It is called each Interval.
func (n *Node) Tick(now time.Time) {
	suspended := now.Sub(n.tickedAt) > maxTickGap
	n.tickedAt = now
	if suspended {
		n.resetSilence(now)
	}
	if now.Sub(n.activeAt) <= activeFor && now.Sub(n.sentAt) >= resendAfter {
		if now.Sub(n.reportedAt) > reportTTL {
			n.loads, n.reportedAt = nil, now // the core no longer reports any
		}
		n.sendReports(now)
	}
	for _, s := range slices.SortedFunc(maps.Keys(n.collected), compareSpans) {
		c := n.collected[s]
		n.collect(now, s, c)
		if len(c.reports) == 0 && len(c.partials) == 0 {
			delete(n.collected, s)
		}
	}
}

// resetSilence begins all waits for answers anew (R10).
func (n *Node) resetSilence(now time.Time) {
	for _, o := range n.own {
		o.since = now
	}
	for _, c := range n.collected {
		for id := range c.asked {
			c.asked[id] = now
		}
	}
}

// sendReports sends the own report of each range to its collector.
func (n *Node) sendReports(now time.Time) {
	resumed := now.Sub(n.sentAt) > silence
	n.sentAt = now
	maps.DeleteFunc(n.own, func(s span, _ *ownRange) bool { return s.ranges != n.ranges })
	split := make([][]medlarload.Load, n.ranges)
	for _, l := range n.loads {
		i := rangeOf(l.Upstream, n.ranges)
		split[i] = append(split[i], l)
	}
	for i, loads := range split {
		s := span{n.ranges, i}
		o := n.own[s]
		if o == nil {
			o = &ownRange{since: now}
			n.own[s] = o
		}
		if resumed {
			o.since = now
		}
		n.sendReport(now, s, o, fit(loads))
	}
}

// sendReport sends an own report to the collector of its range (R5, R6).
func (n *Node) sendReport(now time.Time, s span, o *ownRange, loads []medlarload.Load) {
	if o.collector != "" && o.collector != n.deps.Self && now.Sub(o.since) > silence {
		n.suspects[o.collector] = now
	}
	rank := n.layout.rank(n.layout.group, s)
	next := n.first(rank)
	if next != o.collector {
		if o.collector != "" { // it may be alive, and its answers lost: takes the report back (R6)
			n.deliver(now, o.collector, Message{Kind: KindReport, Ranges: s.ranges, Range: s.index})
		}
		o.collector, o.since = next, now
	}
	n.report++
	o.history = append(o.history, sentReport{number: n.report, loads: loads})
	o.history = o.history[max(len(o.history)-maxHistory, 0):]
	n.deliver(now, next, Message{Kind: KindReport, Ranges: s.ranges, Range: s.index, Age: now.Sub(n.reportedAt), Report: n.report, Loads: loads})
	if p := n.probe(now, rank, next); p != "" {
		n.deliver(now, p, Message{Kind: KindReport, Ranges: s.ranges, Range: s.index})
	}
}

// first returns the first collector of a ranking that answers, or the first one if none does (R5).
func (n *Node) first(rank []medlarid.InstanceID) medlarid.InstanceID {
	for _, id := range rank {
		if _, silent := n.suspects[id]; !silent {
			return id
		}
	}
	return rank[0]
}

// probe returns a collector that ranks before the chosen one and is to be asked whether it answers again, if any (R5).
func (n *Node) probe(now time.Time, rank []medlarid.InstanceID, chosen medlarid.InstanceID) medlarid.InstanceID {
	var out medlarid.InstanceID
	for _, id := range rank {
		at, silent := n.suspects[id]
		if id == chosen && !silent {
			break
		}
		if silent && now.Sub(at) >= probeInterval && (out == "" || at.Before(n.suspects[out])) {
			out = id
		}
	}
	if out != "" {
		n.suspects[out] = now
	}
	return out
}

// deliver sends a message, or handles it if this instance is its receiver.
func (n *Node) deliver(now time.Time, to medlarid.InstanceID, m Message) {
	if to == n.deps.Self {
		n.Receive(now, to, m)
		return
	}
	n.deps.Send(to, m)
}

// Receive handles a message of another instance.
func (n *Node) Receive(now time.Time, from medlarid.InstanceID, m Message) {
	if m.Ranges < 1 || m.Ranges > maxRanges || m.Range < 0 || m.Range >= m.Ranges {
		return
	}
	s := span{m.Ranges, m.Range}
	switch m.Kind {
	case KindReport:
		n.collection(s).reports[from] = report{at: now.Add(-m.Age), number: m.Report, loads: m.Loads}
	case KindPartial:
		delete(n.suspects, from)
		c := n.collection(s)
		c.asked[from] = now
		if m.Members == 0 {
			delete(c.partials, from)
			return
		}
		c.partials[from] = partial{at: now, reportAt: now.Add(-m.Age), loads: m.Loads}
	case KindTotal:
		delete(n.suspects, from)
		n.applyTotal(now, from, s, m)
	}
}

func (n *Node) collection(s span) *collection {
	c := n.collected[s]
	if c == nil {
		c = &collection{reports: map[medlarid.InstanceID]report{}, partials: map[medlarid.InstanceID]partial{}, asked: map[medlarid.InstanceID]time.Time{}}
		n.collected[s] = c
	}
	return c
}

// applyTotal passes on a total of the chosen collector, less what this instance has reported itself (R8).
func (n *Node) applyTotal(now time.Time, from medlarid.InstanceID, s span, m Message) {
	o := n.own[s]
	if o == nil || from != o.collector {
		return
	}
	o.since = now
	if m.Age > TotalTTL {
		return
	}
	sum := newSum()
	sum.add(m.Loads, 1)
	for _, r := range o.history {
		if r.number == m.Report {
			sum.add(r.loads, -1)
		}
	}
	n.deps.OnTotal(Total{Ranges: s.ranges, Range: s.index, Age: m.Age, Loads: sum.list()})
}

// collect sends the sums of a range (R4, R7).
func (n *Node) collect(now time.Time, s span, c *collection) {
	maps.DeleteFunc(c.reports, func(_ medlarid.InstanceID, r report) bool { return now.Sub(r.at) > reportTTL })
	maps.DeleteFunc(c.partials, func(_ medlarid.InstanceID, p partial) bool { return now.Sub(p.at) > TotalTTL })
	sum, oldest := newSum(), now
	for _, r := range c.reports {
		sum.add(r.loads, 1)
		oldest = earlier(oldest, r.at)
	}
	m := Message{Kind: KindPartial, Ranges: s.ranges, Range: s.index, Age: now.Sub(oldest), Members: len(c.reports), Loads: fit(sum.list())}
	for _, to := range n.collectors(now, s, c) {
		n.deps.Send(to, m)
	}
	if len(c.reports) == 0 {
		return
	}
	for _, p := range c.partials {
		if now.Sub(p.reportAt) <= partialTTL {
			sum.add(p.loads, 1)
			oldest = earlier(oldest, p.reportAt)
		}
	}
	m = Message{Kind: KindTotal, Ranges: s.ranges, Range: s.index, Age: now.Sub(oldest), Loads: fit(sum.list())}
	for _, id := range slices.Sorted(maps.Keys(c.reports)) {
		m.Report = c.reports[id].number
		n.deliver(now, id, m)
	}
}

// collectors returns the collectors of a range that get a partial sum: those that have sent one, and with
// members also the chosen ones of all groups (R4, R5).
func (n *Node) collectors(now time.Time, s span, c *collection) []medlarid.InstanceID {
	to := map[medlarid.InstanceID]bool{}
	for id := range c.partials {
		to[id] = true
	}
	if len(c.reports) == 0 {
		clear(c.asked)
		return slices.Sorted(maps.Keys(to))
	}
	asked := map[medlarid.InstanceID]time.Time{}
	for _, g := range n.layout.order {
		rank := n.layout.rank(g, s)
		id := n.first(rank)
		if at, ok := c.asked[id]; ok && id != n.deps.Self && now.Sub(at) > silence {
			n.suspects[id] = now
			id = n.first(rank)
		}
		to[id] = true
		if p := n.probe(now, rank, id); p != "" {
			to[p] = true
		}
	}
	delete(to, n.deps.Self)
	for id := range to {
		at, ok := c.asked[id]
		if _, silent := n.suspects[id]; !ok || silent {
			at = now // one that is asked again gets the full time to answer
		}
		asked[id] = at
	}
	c.asked = asked
	return slices.Sorted(maps.Keys(to))
}

func compareSpans(a, b span) int {
	return cmp.Or(cmp.Compare(a.ranges, b.ranges), cmp.Compare(a.index, b.index))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// sum adds up loads.
type sum map[medlarid.Hash]medlarload.Load

func newSum() sum { return sum{} }

// add adds loads, or takes them away if sign is -1.
func (s sum) add(loads []medlarload.Load, sign int) {
	for _, l := range loads {
		v := s[l.Upstream]
		s[l.Upstream] = medlarload.Load{Upstream: l.Upstream, Open: v.Open + sign*l.Open, Pending: v.Pending + medlarid.Tokens(sign)*l.Pending}
	}
}

// list returns the loads that are not zero, ordered by hash.
func (s sum) list() []medlarload.Load {
	var out []medlarload.Load
	for _, l := range s {
		l.Open, l.Pending = max(l.Open, 0), max(l.Pending, 0)
		if l.Open > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, compareHashes)
	return out
}

func compareHashes(a, b medlarload.Load) int { return cmp.Compare(a.Upstream, b.Upstream) }

// fit returns loads that fit into a message, ordered by hash (R9).
func fit(loads []medlarload.Load) []medlarload.Load {
	size := 0
	for _, l := range loads {
		size += encodedSize(l)
	}
	out := slices.Clone(loads)
	if size > maxBytes {
		slices.SortFunc(out, func(a, b medlarload.Load) int {
			return cmp.Or(cmp.Compare(b.Open, a.Open), compareHashes(a, b))
		})
		for size > maxBytes {
			size -= encodedSize(out[len(out)-1])
			out = out[:len(out)-1]
		}
	}
	slices.SortFunc(out, compareHashes)
	return out
}

// encodedSize bounds the bytes of a load in a message: the difference to the hash before it, which takes 5 bytes at most and
// less than 4 on average with 32 upstreams or more, and two numbers of 7 bits in each byte.
func encodedSize(l medlarload.Load) int {
	const hashBytes = 4
	return hashBytes + numberBytes(l.Open) + numberBytes(int(l.Pending)/64)
}

func numberBytes(v int) int {
	n := 1
	for ; v >= 1<<7; v >>= 7 {
		n++
	}
	return n
}
