package medlarevent

import (
	"bytes"

	"medlarfield/internal/base/medlarframing"
)

// byteOrderMark may stand before the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// block is what the lines up to an empty one are.
type block struct {
	empty     bool   // comments and blank lines only
	malformed bool   // neither that nor an event (R6)
	id        string // empty for none
}

// parseBlock parses the lines up to an empty one.
func parseBlock(text []byte) block {
	if name, found := medlarframing.HeadField(text); found && !isKnown([]byte(name)) {
		return block{malformed: true} // an event that quotes a status line goes on with a field of its own
	}
	b := block{empty: true}
	event := false
	for line := range bytes.Lines(bytes.TrimPrefix(text, byteOrderMark)) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		if !IsLine(line) {
			return block{malformed: true}
		}
		name, value, isField := bytes.Cut(line, []byte(":"))
		b.empty, event = false, event || isKnown(name)
		if string(name) == "id" && isField {
			b.id = string(bytes.TrimSpace(value))
		}
	}
	b.malformed = !b.empty && !event
	return b
}

// IsLine reports whether a line, without its end, can stand in a stream: it is blank, a comment or a field.
func IsLine(line []byte) bool {
	name, _, isField := bytes.Cut(line, []byte(":"))
	return len(line) == 0 || line[0] == ':' || isKnown(name) || isField && isName(name)
}

// isKnown reports whether a field is one of those that make an event.
func isKnown(name []byte) bool {
	switch string(name) {
	case "data", "id", "event", "retry":
		return true
	}
	return false
}

// isName reports whether a field may have a name.
func isName(name []byte) bool {
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return len(name) > 0
}
