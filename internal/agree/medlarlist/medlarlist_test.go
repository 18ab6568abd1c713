package medlarlist

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"medlarfield/internal/agree/medlarrecord"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarjson"
)

const (
	validPlans = `{"accounts": {"a": {"plan": "p", "keys": []}}}`
	validUses  = `{"plans": {"p": {"models": ["m"], "services": ["s"]}}, "models": {"m": {"version": "v1"}}, "services": {"s": {}}}`
	digestA    = "fac4c3d58ab339783ccdcfc8198339d52466ddc8ef503c1910f6ff3bc1e603df"
)

func parse(t testing.TB, plans, uses string) (*Lists, error) {
	t.Helper()
	p, err := medlarjson.Parse("plans.json", []byte(plans))
	if err != nil {
		return nil, err
	}
	u, err := medlarjson.Parse("uses.json", []byte(uses))
	if err != nil {
		return nil, err
	}
	return Parse(p, u)
}

func TestParseErrors(t *testing.T) {
	for _, tc := range []struct {
		name  string
		plans string
		uses  string
		want  string
	}{
		{
			"unknown field", `{"accounts": {"a": {"plan": "p", "colour": 1}}}`, validUses,
			`plans.json:1:44: unknown field "colour"`,
		},
		{
			"unknown plan", "{\"accounts\": {\n\"a\": {\"plan\": \"q\"}}}", validUses,
			`plans.json:2:15: account "a": plan "q" does not exist`,
		},
		{
			"unknown model", validPlans, "{\"plans\": {\"p\": {\n\"models\": [\"x\"]}}}",
			`uses.json:2:12: plan "p": model "x" does not exist`,
		},
		{
			"unknown service", validPlans, "{\"plans\": {\"p\": {\"services\": [\n\"x\"]}}}",
			`uses.json:2:1: plan "p": service "x" does not exist`,
		},
		{
			"rate out of range", validPlans, "{\"plans\": {\"p\": {\n \"rate\": -1}}}",
			`uses.json:2:10: plan "p": rate: want 0 to 1000000 requests per second, got -1`,
		},
		{
			"missing version", validPlans, `{"plans": {"p": {}}, "models": {"m": {}}}`,
			`uses.json:1:38: model "m": version: want a weight version`,
		},
		{
			"invalid name", `{"accounts": {"a b": {"plan": "p"}}}`, validUses,
			`plans.json:1:22: name "a b": want 1 to 64 letters, digits, dots, dashes or underscores, starting with a letter or digit`,
		},
		{
			"invalid key digest", `{"accounts": {"a": {"plan": "p", "keys": ["secret"]}}}`, validUses,
			`plans.json:1:43: field "0": want a SHA-256 digest of 64 hexadecimal digits`,
		},
		{
			"key of two accounts", `{"accounts": {"a": {"plan": "p", "keys": ["` + digestA + `"]}, "b": {"plan": "p", "keys": ["` + digestA + `"]}}}`, validUses,
			`plans.json:1:118: accounts "a" and "b" have the same key`,
		},
		{
			"repeatable method", validPlans, `{"plans": {"p": {}}, "services": {"s": {"once": ["GET"]}}}`,
			`uses.json:1:49: service "s": once: want methods among [DELETE PATCH POST PUT], got "GET"`,
		},
		{
			"duplicate account", `{"accounts": {"a": {"plan": "p"}, "a": {"plan": "p"}}}`, validUses,
			`plans.json:1:35: field "a" appears twice`,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parse(t, tc.plans, tc.uses)
			assertErrorText(t, err, tc.want)
		})
	}
}

func assertErrorText(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %s", want)
	}
	if err.Error() != want {
		t.Errorf("got  %s\nwant %s", err, want)
	}
}

func TestApplyRejects(t *testing.T) {
	account := func(name, value string) Entry {
		return Entry{Name: EntryName{medlarrecord.Table_TABLE_ACCOUNT, name}, Value: []byte(value)}
	}
	for _, tc := range []struct {
		name   string
		change Change
		want   Kind
	}{
		{"malformed JSON", Change{Put: []Entry{account("x", "{")}}, KindValue},
		{"unknown field", Change{Put: []Entry{account("x", `{"plan":"p","z":1}`)}}, KindValue},
		{"reference to a missing plan", Change{Put: []Entry{account("x", `{"plan":"z"}`)}}, KindReference},
		{"deletion of a missing entry", Change{Delete: []EntryName{{medlarrecord.Table_TABLE_ACCOUNT, "z"}}}, KindNotFound},
		{"deletion of a plan in use", Change{Delete: []EntryName{{medlarrecord.Table_TABLE_PLAN, "p"}}}, KindReference},
		{"unknown table", Change{Put: []Entry{{Name: EntryName{99, "x"}, Value: []byte("{}")}}}, KindValue},
	} {
		t.Run(tc.name, func(t *testing.T) { assertApplyFails(t, tc.change, tc.want) })
	}
}

func assertApplyFails(t *testing.T, c Change, want Kind) {
	t.Helper()
	l, err := parse(t, validPlans, validUses)
	if err != nil {
		t.Fatal(err)
	}
	before := l.Digest
	_, err = l.Apply(c)
	e, ok := err.(*Error)
	if !ok || e.Kind != want {
		t.Errorf("got %v, want kind %s", err, want)
	}
	if l.Digest != before || len(l.Accounts) != 1 {
		t.Error("a rejected change modified the lists")
	}
}

// drawLists generates valid lists.
func drawLists(t *rapid.T, label string) *Lists {
	l := New()
	put := func(e Entry) {
		if err := l.put(e); err != nil {
			t.Fatal(err)
		}
	}
	plans := rapid.IntRange(1, 4).Draw(t, label+" plans")
	for i := range plans {
		p := Plan{Rate: float64(rapid.IntRange(0, 9).Draw(t, label+" rate")), MaxConcurrent: i}
		put(newEntry(medlarrecord.Table_TABLE_PLAN, string(rune('p'+i)), p))
	}
	for i := range rapid.IntRange(0, 6).Draw(t, label+" accounts") {
		plan := medlarid.PlanID(rune('p' + rapid.IntRange(0, plans-1).Draw(t, label+" plan")))
		put(newEntry(medlarrecord.Table_TABLE_ACCOUNT, string(rune('a'+i)), Account{Plan: plan}))
	}
	return l
}

func TestApplyDiffRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawLists(t, "from"), drawLists(t, "to")
		got, err := from.Apply(Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(to, got, cmpopts.EquateEmpty(), cmp.AllowUnexported(Lists{})); d != "" {
			t.Errorf("applying the difference gave other lists (-want +got):\n%s", d)
		}
		if (from.Digest == to.Digest) != Diff(from, to).Empty() {
			t.Error("the digests are equal but the lists differ, or the reverse")
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validPlans, validUses)
	f.Add(`{"accounts": {"a": {"plan": "p", "keys": ["`+digestA+`"]}}}`, `{"plans": {"p": {"rate": 1.5, "deadline": "3s"}}}`)
	f.Add("{ // c\n}", "{,}")
	f.Fuzz(func(t *testing.T, plans, uses string) {
		l, err := parse(t, plans, uses)
		if err != nil {
			return
		}
		again, err := New().Apply(Diff(New(), l))
		if err != nil || again.Digest != l.Digest {
			t.Errorf("parsed lists cannot be applied as a change, or the digest differs: %v", err)
		}
	})
}
