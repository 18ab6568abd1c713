package medlarsite

import (
	"bytes"
	"net"

	"github.com/go-json-experiment/json"

	"medlarfield/internal/stand/medlarfaketopic"
	"medlarfield/internal/stand/medlarlink"
)

// Link returns the link over which an instance reaches the replicas. It outlasts restarts of the instance.
func (s *Site) Link(name string) *medlarlink.Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[name]
	if l == nil {
		l = medlarlink.New()
		s.links[name] = l
	}
	return l
}

// LinkFrom returns the name of the instance over whose link a connection comes from an address to a replica; empty for none.
func (s *Site) LinkFrom(address, replica string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range s.links {
		if l.Carries(address, replica) {
			return name
		}
	}
	return ""
}

// linkTo returns the view of an instance to which entries of replicas name their addresses on its link.
func (s *Site) linkTo(name string) medlarfaketopic.View {
	l := s.Link(name)
	return func(topic, _ string, value []byte) []byte {
		var e struct{ Address string }
		if topic != topicRep || json.Unmarshal(value, &e) != nil {
			return value
		}
		if _, err := net.ResolveTCPAddr("tcp", e.Address); err != nil {
			return value // an odd entry, which readers get as it is
		}
		address, err := l.Address(e.Address)
		if err != nil {
			return value
		}
		return bytes.Replace(value, []byte(e.Address), []byte(address), 1)
	}
}
