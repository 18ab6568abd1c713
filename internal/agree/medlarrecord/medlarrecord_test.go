package medlarrecord

import (
	"bufio"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"medlarfield/internal/base/medlarid"
)

var (
	messageLine = regexp.MustCompile(`^message (\w+) \{`)
	fieldLine   = regexp.MustCompile(`^\s+(?:repeated )?(\w+) (\w+) = (\d+);`)
)

// TestGeneratedCodeIsCurrent checks that the descriptor in the generated code has
// the fields of record.proto, with the same numbers. It fails if record.proto was
// changed without generating the code again.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	f, err := os.Open("record.proto")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	want := 0
	var message protoreflect.MessageDescriptor
	for s := bufio.NewScanner(f); s.Scan(); {
		if m := messageLine.FindStringSubmatch(s.Text()); m != nil {
			message = File_record_proto.Messages().ByName(protoreflect.Name(m[1]))
		}
		if strings.HasPrefix(s.Text(), "enum") {
			message = nil
		}
		if m := fieldLine.FindStringSubmatch(s.Text()); m != nil && message != nil {
			assertField(t, message, m[2], m[3])
			want++
		}
	}
	got := 0
	for i := range File_record_proto.Messages().Len() {
		got += File_record_proto.Messages().Get(i).Fields().Len()
	}
	if got != want {
		t.Errorf("generated code has %d fields, record.proto has %d", got, want)
	}
}

func assertField(t *testing.T, m protoreflect.MessageDescriptor, name, number string) {
	t.Helper()
	f := m.Fields().ByName(protoreflect.Name(name))
	if f == nil || strconv.Itoa(int(f.Number())) != number {
		t.Errorf("generated code has no field %s.%s with number %s", m.Name(), name, number)
	}
}

func TestDecode(t *testing.T) {
	id := medlarid.NewRecordID()
	valid, err := Encode(&Record{}, id, "a")
	if err != nil {
		t.Fatal(err)
	}
	newer, err := proto.Marshal(&Record{Id: id[:], Format: FormatVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		data []byte
		want Kind
	}{
		{"valid", valid, ""},
		{"no identifier", nil, KindMalformed},
		{"not a protobuf message", []byte("\xff\xff\xff"), KindMalformed},
		{"newer format", newer, KindNewerFormat},
	} {
		t.Run(tc.name, func(t *testing.T) { assertDecode(t, tc.data, tc.want) })
	}
}

func assertDecode(t *testing.T, data []byte, want Kind) {
	t.Helper()
	_, _, err := Decode(data)
	e, _ := err.(*Error)
	if (err == nil) != (want == "") || e != nil && e.Kind != want {
		t.Errorf("got error %v, want kind %q", err, want)
	}
}

func FuzzDecode(f *testing.F) {
	id := medlarid.NewRecordID()
	valid, _ := Encode(&Record{Body: &Record_Claims{Claims: &Claims{Base: 7, Claims: []*Claim{{Key: []byte("k")}}}}}, id, "a")
	f.Add(valid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, got, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(r, got, r.GetAuthor())
		if err != nil {
			t.Fatalf("cannot encode a decoded record: %v", err)
		}
		if _, second, err := Decode(again); err != nil || second != got {
			t.Errorf("identifier %v changed to %v after encoding and decoding, error %v", got, second, err)
		}
	})
}
