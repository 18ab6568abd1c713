package medlardatagram

import (
	"net/netip"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarsum"
	"medlarfield/internal/core/medlarworld"
)

// datagram is a datagram to be sent.
type datagram struct {
	at      netip.AddrPort
	content []byte
}

// totals holds the time of the oldest report in the latest sum of each range.
type totals map[int]time.Time

// SetOnSum sets the function that receives the sums of all peers' load. It is called before Listen.
func (s *Socket) SetOnSum(f func(medlarworld.PeerSumReported)) { s.onSum = f }

// SumAge returns the age of the oldest sum in force; ok is false if there is none.
func (s *Socket) SumAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, at := range s.totals {
		if a := now.Sub(at); a <= medlarsum.TotalTTL {
			age, ok = max(age, a), true
		}
	}
	return age, ok
}

// Datagrams returns the number of datagrams that were sent and received.
func (s *Socket) Datagrams() (sent, received uint64) { return s.sent.Load(), s.received.Load() }

// tick renews reports and sends sums each medlarsum.Interval until the socket is closed.
func (s *Socket) tick() {
	t := time.NewTicker(medlarsum.Interval)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-t.C:
			s.mu.Lock()
			s.updateMembers()
			s.sums.Tick(time.Now())
			s.mu.Unlock()
			s.flush()
		}
	}
}

// receiveSum handles a message of a peer's sums.
func (s *Socket) receiveSum(m message) {
	s.mu.Lock()
	s.updateMembers()
	s.sums.Receive(time.Now(), m.Sender, *m.Sum)
	s.mu.Unlock()
	s.flush()
}

// updateMembers passes the known peers to sums if they have changed. The caller holds the lock.
func (s *Socket) updateMembers() {
	if !s.changed {
		return
	}
	s.changed = false
	members := make([]medlarsum.Member, 0, len(s.peers))
	for id, p := range s.peers {
		members = append(members, medlarsum.Member{ID: id, Zone: p.Zone})
	}
	s.sums.SetMembers(members)
}

// queue queues a message of sums. The caller holds the lock.
func (s *Socket) queue(to medlarid.InstanceID, m medlarsum.Message) {
	p := s.peers[to]
	if p == nil {
		return
	}
	s.serial++
	s.outgoing = append(s.outgoing, datagram{p.address, encode(message{Sender: s.deps.Self, Key: s.deps.Key, Serial: s.serial, Sum: &m})})
}

// setTotal records a total and queues it for the core. The caller holds the lock.
func (s *Socket) setTotal(t medlarsum.Total) {
	for i := range s.totals {
		if i >= t.Ranges {
			delete(s.totals, i)
		}
	}
	s.totals[t.Range] = time.Now().Add(-t.Age)
	s.reported = append(s.reported, medlarworld.PeerSumReported(t))
}

// flush sends the queued datagrams and passes the queued totals to the core.
func (s *Socket) flush() {
	s.mu.Lock()
	outgoing, reported := s.outgoing, s.reported
	s.outgoing, s.reported = nil, nil
	s.mu.Unlock()
	for _, d := range outgoing {
		s.write(d.content, d.at)
	}
	for _, r := range reported {
		s.onSum(r)
	}
}

// write sends a datagram. Errors are ignored, since the next one follows soon.
func (s *Socket) write(b []byte, at netip.AddrPort) {
	s.sent.Add(1)
	_, _ = s.conn.WriteToUDPAddrPort(b, at)
}
