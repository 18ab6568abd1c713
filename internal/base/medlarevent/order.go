package medlarevent

import "strconv"

// order checks the ids of a stream's events (R7). The zero value checks nothing.
type order struct {
	checks   bool
	last     uint64 // id of the last event
	numbered bool   // that id is a decimal number
	nameless bool   // an event without an id has followed it
	resumes  bool   // the next event is the first one of a response that resumes the stream
	steps    int    // from one id to the next
	uneven   bool   // some step was not 1
}

// resume prepares for a response that continues after the event with an id.
func (o *order) resume(last string) {
	o.checks, o.resumes = true, last != "" || o.nameless
	n, err := strconv.ParseUint(last, 10, 64)
	o.last, o.numbered = n, err == nil
}

// add checks the id of the next event, empty for none, and reports whether the event may follow.
func (o *order) add(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	numbered := err == nil
	if o.checks && !o.follows(n, numbered) {
		return false
	}
	if numbered && o.numbered {
		o.steps++
		o.uneven = o.uneven || n != o.last+1
	}
	if id != "" {
		o.last, o.numbered = n, numbered
	}
	o.nameless, o.resumes = id == "", false
	return true
}

// follows reports whether an event may follow the last one.
func (o *order) follows(n uint64, numbered bool) bool {
	switch {
	case o.resumes && o.nameless:
		return false // nobody can tell where the stream goes on
	case !o.numbered:
		return true
	case !numbered:
		return !o.resumes
	case o.resumes && o.steps > 0 && !o.uneven:
		return n == o.last+1
	}
	return n > o.last
}
