// Package medlarfields compares protobuf messages with the fields that an earlier build had.
package medlarfields

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Differences returns the fields of a list that messages do not have, or have with another number or type. A line of the list
// has the message, the number, the type and the name of a field. Fields that were added or renamed are no difference.
func Differences(messages protoreflect.MessageDescriptors, list string) []string {
	var out []string
	for line := range strings.Lines(list) {
		if !has(messages, strings.TrimSpace(line)) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

func has(messages protoreflect.MessageDescriptors, line string) bool {
	var message, kind string
	var number protoreflect.FieldNumber
	if _, err := fmt.Sscan(line, &message, &number, &kind); err != nil {
		return false
	}
	m := messages.ByName(protoreflect.Name(message))
	if m == nil {
		return false
	}
	f := m.Fields().ByNumber(number)
	return f != nil && typeName(f) == kind
}

// typeName returns the type of a field as its definition names it.
func typeName(f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return string(f.Message().Name())
	case protoreflect.EnumKind:
		return string(f.Enum().Name())
	default:
		return f.Kind().String()
	}
}
