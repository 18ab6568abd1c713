package medlarstorerelay

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
)

func fullAnswer() answer {
	parts := []medlarinventory.StoredPart{{Key: medlarkey.Key{1}, Tokens: 100}, {Key: medlarkey.Key{2}, Tokens: maxTokens}}
	return answer{
		nonce: 7,
		lists: []report{{store: "a", generation: 1, epoch: 1 << 60, sequence: 5, first: true, added: parts}},
		states: []report{
			{store: "a", generation: 1, epoch: 2, sequence: 6, base: 5, status: statusDated, age: 1234 * time.Microsecond, added: parts[:1], removed: []medlarkey.Key{{3}, {4}}},
			{store: "b", status: statusAbsent},
		},
	}
}

// TestMessages guards against messages that another instance understands otherwise.
func TestMessages(t *testing.T) {
	a := fullAnswer()
	unknown := protowire.AppendFixed64(protowire.AppendTag(a.encode(), 99, protowire.Fixed64Type), 1) // of a later build
	for _, b := range [][]byte{a.encode(), unknown} {
		if got, err := decodeAnswer(b); err != nil || !reflect.DeepEqual(got, a) {
			t.Errorf("answer is decoded as %+v, %v, want %+v", got, err, a)
		}
	}
	q := request{nonce: 3, wants: []want{{"a", 1}, {"b", 2}}}
	if got, err := decodeRequest(q.encode()); err != nil || !reflect.DeepEqual(got, q) {
		t.Errorf("request is decoded as %+v, %v, want %+v", got, err, q)
	}
}

// TestMessagesBeyondBounds guards against an instance that holds whatever another one sends it.
func TestMessagesBeyondBounds(t *testing.T) {
	many := answer{states: make([]report, 2*maxStores+1)}
	wants := request{wants: make([]want, maxStores+1)}
	for i := range many.states {
		many.states[i].store = "a"
	}
	for i := range wants.wants {
		wants.wants[i].store = "a"
	}
	long := report{store: medlarid.InstanceID(strings.Repeat("x", maxName+1))}
	for name, b := range map[string][]byte{
		"reports":             many.encode(),
		"name":                answer{states: []report{long}}.encode(),
		"no name":             answer{states: []report{{}}}.encode(),
		"tokens":              answer{lists: []report{{store: "a", added: []medlarinventory.StoredPart{{Tokens: maxTokens + 1}}}}}.encode(),
		"status":              answer{states: []report{{store: "a", status: 3}}}.encode(),
		"part of a key":       appendBytes(nil, fieldState, appendBytes(report{store: "a"}.encode(), fieldRemoved, make([]byte, 17))),
		"part without tokens": appendBytes(nil, fieldState, appendBytes(report{store: "a"}.encode(), fieldAdded, make([]byte, 16))),
		"cut off":             fullAnswer().encode()[:30],
	} {
		if _, err := decodeAnswer(b); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := decodeRequest(wants.encode()); err == nil {
		t.Error("too many stores in a request: no error")
	}
	if _, err := readMessage(bufio.NewReader(bytes.NewReader(protowire.AppendVarint(nil, maxAnswer+1))), maxAnswer); err == nil {
		t.Error("too long a message: no error")
	}
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(fullAnswer().encode())
	f.Add(request{nonce: 1, wants: []want{{"a", 1}}}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := decodeAnswer(b); err == nil {
			if again, err := decodeAnswer(a.encode()); err != nil || len(again.states) != len(a.states) {
				t.Errorf("%+v is decoded as %+v, %v", a, again, err)
			}
		}
		_, _ = decodeRequest(b)
	})
}
