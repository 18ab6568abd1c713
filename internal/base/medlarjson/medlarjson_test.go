package medlarjson

import (
	"errors"
	"testing"

	"medlarfield/internal/base/medlarid"
)

type sample struct {
	Name  string            `json:"name"`
	Count int               `json:"count"`
	Wait  medlarid.Duration `json:"wait"`
	Deep  map[string]inner  `json:"deep"`
}

type inner struct {
	Rate float64 `json:"rate"`
}

func TestDecodeReportsPosition(t *testing.T) {
	for _, tc := range []struct {
		name string
		text string
		want string
	}{
		{"unknown field", "{\n  // comment\n  \"nome\": \"x\"\n}", `f:3:11: unknown field "nome"`},
		{"wrong type", "{\n \"count\": \"3\"}", `f:2:11: field "count": want a whole number, got string`},
		{"duplicate", "{\"count\": 3,\n \"count\": 4}", `f:2:2: field "count" appears twice`},
		{"malformed duration", "{\n \"wait\": \"soon\"}", `f:2:10: field "wait": want a duration such as "1.5s", got "soon"`},
		{"nested wrong type", "{\"deep\": {\"a\": {\n\"rate\": true}}}", `f:2:9: field "rate": want a number, got true`},
		{"syntax", "{\n \"count\" 3}", `f:2:10: invalid character '3' after object name`},
	} {
		t.Run(tc.name, func(t *testing.T) { assertDecodeError(t, tc.text, tc.want) })
	}
}

func assertDecodeError(t *testing.T, text, want string) {
	t.Helper()
	doc, err := Parse("f", []byte(text))
	if err == nil {
		err = doc.Decode(&sample{})
	}
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("error %v is not an *Error", err)
	}
	if e.Error() != want {
		t.Errorf("got  %s\nwant %s", e.Error(), want)
	}
}

func TestDecodeAllowsComments(t *testing.T) {
	doc, err := Parse("f", []byte("{ // c\n \"name\": \"x\", /* d */ \"wait\": \"2s\", }"))
	if err != nil {
		t.Fatal(err)
	}
	var s sample
	if err := doc.Decode(&s); err != nil {
		t.Fatal(err)
	}
	if s.Name != "x" || s.Wait.Std().Seconds() != 2 {
		t.Errorf("got %+v", s)
	}
}

func TestReadFileMissing(t *testing.T) {
	_, err := ReadFile("does-not-exist.json")
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindMissing {
		t.Fatalf("got %v, want kind missing", err)
	}
}
