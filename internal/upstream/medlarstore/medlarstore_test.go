package medlarstore_test

import (
	"testing"
	"time"

	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfakestore"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarstore"
)

const (
	timeout = 150 * time.Millisecond
	length  = 1 << 10
)

type fixture struct {
	client *medlarstore.Client
	host   *medlarhost.Host
	board  *medlarfault.Board
	http   *medlarhttp.Client
}

func start(t *testing.T) *fixture {
	t.Helper()
	cfg := medlarfakestore.Defaults("store")
	cfg.Size = 4 * length
	board := medlarfault.New()
	host, err := medlarhost.New("store", "127.0.0.1:0", board, medlarfakestore.New(cfg, board).Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	h := medlarhttp.New(time.Second)
	return &fixture{client: medlarstore.New(h, timeout), host: host, board: board, http: h}
}

func key(n byte) medlarkey.Key { return medlarkey.Key{n} }

func (f *fixture) reserve(t *testing.T, keys ...medlarkey.Key) []medlarstore.Block {
	t.Helper()
	blocks, err := f.client.Reserve(f.host.Address, "a", keys, length)
	if err != nil || len(blocks) != len(keys) {
		t.Fatalf("reserved %d of %d: %v", len(blocks), len(keys), err)
	}
	return blocks
}

// fill writes a block as an engine does and returns it with length and sum.
func (f *fixture) fill(t *testing.T, b medlarstore.Block) medlarstore.Block {
	t.Helper()
	a, err := f.http.Do(medlarhttp.Request{
		Method:  "PUT",
		Address: f.host.Address,
		Path:    path(b),
		Headers: []medlarhttp.Header{
			{Name: medlarfakeengine.HeaderContent, Value: "7"},
			{Name: medlarfakeengine.HeaderLength, Value: "1024"},
		},
		Timeout: timeout,
	})
	if err != nil || a.Status != 200 {
		t.Fatalf("fill: %v, status %d", err, a.Status)
	}
	b.Length, b.Checksum = length, 7
	return b
}

func path(b medlarstore.Block) string {
	return "/blocks/" + string('0'+rune(b.Slot)) + "?generation=" + string('0'+rune(b.Generation))
}

func (f *fixture) find(t *testing.T, k medlarkey.Key) []medlarstore.Block {
	t.Helper()
	blocks, err := f.client.Find(f.host.Address, []medlarkey.Key{k}, timeout)
	if err != nil {
		t.Fatal(err)
	}
	return blocks
}

// read returns the status of reading a block as an engine does.
func (f *fixture) read(t *testing.T, b medlarstore.Block) int {
	t.Helper()
	a, err := f.http.Do(medlarhttp.Request{Method: "GET", Address: f.host.Address, Path: path(b), Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return a.Status
}

func TestBlockLifecycle(t *testing.T) {
	f := start(t)
	reserved := f.reserve(t, key(1))[0]
	assertHidden(t, f, reserved, "reserved")
	filled := f.fill(t, reserved)
	assertHidden(t, f, filled, "filled")
	if err := f.client.Commit(f.host.Address, []medlarstore.Block{filled}); err != nil {
		t.Fatal(err)
	}
	if got := f.find(t, key(1)); len(got) != 1 || got[0] != filled {
		t.Fatalf("found %+v, want %+v", got, filled)
	}
	if status := f.read(t, filled); status != 200 {
		t.Errorf("reading a committed block: status %d", status)
	}
	if again := f.reserve(t, key(1))[0]; !again.Stored {
		t.Error("a kept block is reserved again")
	}
	if err := f.client.Free(f.host.Address, []medlarstore.Block{filled}); err != nil {
		t.Fatal(err)
	}
	assertHidden(t, f, filled, "freed")
	reused := f.reserve(t, key(2))[0]
	if reused.Slot != filled.Slot || reused.Generation <= filled.Generation {
		t.Errorf("the slot was given out again as %+v after %+v", reused, filled)
	}
	assertHidden(t, f, filled, "freed and reused")
}

// assertHidden checks that a block can be neither found nor read.
func assertHidden(t *testing.T, f *fixture, b medlarstore.Block, state string) {
	t.Helper()
	if got := f.find(t, b.Key); len(got) != 0 {
		t.Errorf("%s: found %+v", state, got)
	}
	if status := f.read(t, b); status != 409 {
		t.Errorf("%s: read with status %d", state, status)
	}
}

func TestCommitChecksContent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*medlarstore.Block)
	}{
		{"another checksum", func(b *medlarstore.Block) { b.Checksum++ }},
		{"another length", func(b *medlarstore.Block) { b.Length-- }},
		{"another generation", func(b *medlarstore.Block) { b.Generation++ }},
		{"another slot", func(b *medlarstore.Block) { b.Slot++ }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t)
			b := f.fill(t, f.reserve(t, key(1))[0])
			wrong := b
			tc.change(&wrong)
			err := f.client.Commit(f.host.Address, []medlarstore.Block{wrong})
			assertKind(t, err, medlarstore.KindStale)
			assertHidden(t, f, b, "not committed")
		})
	}
}

func TestFullStoreEvictsOldestBlock(t *testing.T) {
	f := start(t)
	for n := byte(1); n <= 5; n++ {
		b := f.fill(t, f.reserve(t, key(n))[0])
		if err := f.client.Commit(f.host.Address, []medlarstore.Block{b}); err != nil {
			t.Fatal(err)
		}
	}
	if len(f.find(t, key(1))) != 0 || len(f.find(t, key(5))) != 1 {
		t.Error("a full store did not give up its oldest block for the newest")
	}
}

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault medlarfault.Name
		want  medlarstore.Kind
	}{
		{"down", medlarfault.Down, medlarstore.KindUnavailable},
		{"full", medlarfault.Full, medlarstore.KindFull},
		{"answer lost", medlarfault.Lost, medlarstore.KindUnavailable},
		{"answer cut", medlarfault.Cut, medlarstore.KindUnavailable},
		{"late effect", medlarfault.Late, medlarstore.KindUnavailable},
		{"refused", medlarfault.Refuse, medlarstore.KindStale},
		{"slow", medlarfault.Slow, ""},
		{"twice", medlarfault.Double, ""},
		{"answer not JSON", medlarfault.Malformed, medlarstore.KindUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t)
			if err := f.board.Arm(medlarfault.Fault{Part: "store", Name: tc.fault, Wait: "20ms"}); err != nil {
				t.Fatal(err)
			}
			_, err := f.client.Reserve(f.host.Address, "a", []medlarkey.Key{key(1)}, length)
			assertKind(t, err, tc.want)
		})
	}
}

func assertKind(t *testing.T, err error, want medlarstore.Kind) {
	t.Helper()
	if want == "" && err == nil {
		return
	}
	if err == nil || medlarstore.KindOf(err) != want {
		t.Errorf("got %v, want kind %s", err, want)
	}
}
