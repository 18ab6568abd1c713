package medlarstoremessage

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

func fullAnswer() Answer {
	parts := []medlarinventory.StoredPart{{Key: medlarkey.Key{1}, Tokens: 100}, {Key: medlarkey.Key{2}, Tokens: maxTokens}}
	return Answer{
		Nonce: 7,
		Lists: []Report{{Store: "a", Generation: 1, Epoch: 1 << 60, Sequence: 5, First: true, Added: parts}},
		States: []Report{
			{Store: "a", Generation: 1, Epoch: 2, Sequence: 6, Base: 5, Status: StatusDated, Age: 1234 * time.Microsecond, Added: parts[:1], Removed: []medlarkey.Key{{3}, {4}}},
			{Store: "b", Status: StatusAbsent},
		},
	}
}

// TestMessages guards against messages that another instance understands otherwise.
func TestMessages(t *testing.T) {
	a := fullAnswer()
	unknown := protowire.AppendFixed64(protowire.AppendTag(a.Encode(), 99, protowire.Fixed64Type), 1) // of a later build
	for _, b := range [][]byte{a.Encode(), unknown} {
		if got, err := DecodeAnswer(b); err != nil || !reflect.DeepEqual(got, a) {
			t.Errorf("answer is decoded as %+v, %v, want %+v", got, err, a)
		}
	}
	q := Request{Nonce: 3, Wants: []Want{{"a", 1}, {"b", 2}}}
	if got, err := DecodeRequest(q.Encode()); err != nil || !reflect.DeepEqual(got, q) {
		t.Errorf("request is decoded as %+v, %v, want %+v", got, err, q)
	}
}

// TestMessagesBeyondBounds guards against an instance that holds whatever another one sends it.
func TestMessagesBeyondBounds(t *testing.T) {
	many := Answer{States: make([]Report, 2*MaxStores+1)}
	wants := Request{Wants: make([]Want, MaxStores+1)}
	for i := range many.States {
		many.States[i].Store = "a"
	}
	for i := range wants.Wants {
		wants.Wants[i].Store = "a"
	}
	long := Report{Store: medlarid.InstanceID(strings.Repeat("x", maxName+1))}
	for name, b := range map[string][]byte{
		"reports":             many.Encode(),
		"name":                Answer{States: []Report{long}}.Encode(),
		"no name":             Answer{States: []Report{{}}}.Encode(),
		"tokens":              Answer{Lists: []Report{{Store: "a", Added: []medlarinventory.StoredPart{{Tokens: maxTokens + 1}}}}}.Encode(),
		"status":              Answer{States: []Report{{Store: "a", Status: 3}}}.Encode(),
		"part of a key":       appendBytes(nil, fieldState, appendBytes(Report{Store: "a"}.encode(), fieldRemoved, make([]byte, 17))),
		"part without tokens": appendBytes(nil, fieldState, appendBytes(Report{Store: "a"}.encode(), fieldAdded, make([]byte, 16))),
		"cut off":             fullAnswer().Encode()[:30],
	} {
		if _, err := DecodeAnswer(b); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := DecodeRequest(wants.Encode()); err == nil {
		t.Error("too many stores in a request: no error")
	}
	if _, err := Read(bufio.NewReader(bytes.NewReader(protowire.AppendVarint(nil, MaxAnswer+1))), MaxAnswer); err == nil {
		t.Error("too long a message: no error")
	}
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(fullAnswer().Encode())
	f.Add(Request{Nonce: 1, Wants: []Want{{"a", 1}}}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if a, err := DecodeAnswer(b); err == nil {
			if again, err := DecodeAnswer(a.Encode()); err != nil || len(again.States) != len(a.States) {
				t.Errorf("%+v is decoded as %+v, %v", a, again, err)
			}
		}
		_, _ = DecodeRequest(b)
	})
}
