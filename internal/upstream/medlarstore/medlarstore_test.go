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
	timeout   = 150 * time.Millisecond
	blockSize = 1 << 10
)

type fixture struct {
	client   *medlarstore.Client
	server   *medlarhost.Server
	injector *medlarfault.Injector
	http     *medlarhttp.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	cfg := medlarfakestore.Defaults("store")
	cfg.Size = 4 * blockSize
	injector := medlarfault.New()
	server, err := medlarhost.New("store", "127.0.0.1:0", injector, medlarfakestore.New(cfg, injector).Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	h := medlarhttp.New(time.Second)
	return &fixture{client: medlarstore.New(h, timeout), server: server, injector: injector, http: h}
}

func key(n byte) medlarkey.Key { return medlarkey.Key{n} }

func (f *fixture) reserveBlocks(t *testing.T, keys ...medlarkey.Key) []medlarstore.Block {
	t.Helper()
	blocks, err := f.client.Reserve(f.server.Address, "a", keys, blockSize)
	if err != nil || len(blocks) != len(keys) {
		t.Fatalf("reserved %d of %d: %v", len(blocks), len(keys), err)
	}
	return blocks
}

// writeBlock writes a block as an engine does and returns it with its length and
// checksum.
func (f *fixture) writeBlock(t *testing.T, b medlarstore.Block) medlarstore.Block {
	t.Helper()
	resp, err := f.http.Do(medlarhttp.Request{
		Method:  "PUT",
		Address: f.server.Address,
		Path:    slotPath(b),
		Headers: []medlarhttp.Header{
			{Name: medlarfakeengine.HeaderContent, Value: "7"},
			{Name: medlarfakeengine.HeaderLength, Value: "1024"},
		},
		Timeout: timeout,
	})
	if err != nil || resp.Status != 200 {
		t.Fatalf("write block: %v, status %d", err, resp.Status)
	}
	b.Length, b.Checksum = blockSize, 7
	return b
}

func slotPath(b medlarstore.Block) string {
	return "/blocks/" + string('0'+rune(b.Slot)) + "?generation=" + string('0'+rune(b.Generation))
}

func (f *fixture) findBlocks(t *testing.T, k medlarkey.Key) []medlarstore.Block {
	t.Helper()
	blocks, err := f.client.Find(f.server.Address, []medlarkey.Key{k}, timeout)
	if err != nil {
		t.Fatal(err)
	}
	return blocks
}

// readStatus reads a block as an engine does and returns the HTTP status.
func (f *fixture) readStatus(t *testing.T, b medlarstore.Block) int {
	t.Helper()
	resp, err := f.http.Do(medlarhttp.Request{Method: "GET", Address: f.server.Address, Path: slotPath(b), Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return resp.Status
}

func TestBlockLifecycle(t *testing.T) {
	f := newFixture(t)
	reserved := f.reserveBlocks(t, key(1))[0]
	assertUnreadable(t, f, reserved, "reserved")
	written := f.writeBlock(t, reserved)
	assertUnreadable(t, f, written, "written")
	if err := f.client.Commit(f.server.Address, []medlarstore.Block{written}); err != nil {
		t.Fatal(err)
	}
	if got := f.findBlocks(t, key(1)); len(got) != 1 || got[0] != written {
		t.Fatalf("found %+v, want %+v", got, written)
	}
	if status := f.readStatus(t, written); status != 200 {
		t.Errorf("read of a committed block: status %d", status)
	}
	if second := f.reserveBlocks(t, key(1))[0]; !second.Stored {
		t.Error("a stored block was reserved again")
	}
	if err := f.client.Free(f.server.Address, []medlarstore.Block{written}); err != nil {
		t.Fatal(err)
	}
	assertUnreadable(t, f, written, "freed")
	reused := f.reserveBlocks(t, key(2))[0]
	if reused.Slot != written.Slot || reused.Generation <= written.Generation {
		t.Errorf("the slot was reused as %+v after %+v", reused, written)
	}
	assertUnreadable(t, f, written, "freed and reused")
}

// assertUnreadable checks that a block can be neither found nor read.
func assertUnreadable(t *testing.T, f *fixture, b medlarstore.Block, state string) {
	t.Helper()
	if got := f.findBlocks(t, b.Key); len(got) != 0 {
		t.Errorf("%s: found %+v", state, got)
	}
	if status := f.readStatus(t, b); status != 409 {
		t.Errorf("%s: read returned status %d", state, status)
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
			f := newFixture(t)
			b := f.writeBlock(t, f.reserveBlocks(t, key(1))[0])
			changed := b
			tc.change(&changed)
			err := f.client.Commit(f.server.Address, []medlarstore.Block{changed})
			assertKind(t, err, medlarstore.KindStale)
			assertUnreadable(t, f, b, "not committed")
		})
	}
}

func TestFullStoreEvictsOldestBlock(t *testing.T) {
	f := newFixture(t)
	for n := byte(1); n <= 5; n++ {
		b := f.writeBlock(t, f.reserveBlocks(t, key(n))[0])
		if err := f.client.Commit(f.server.Address, []medlarstore.Block{b}); err != nil {
			t.Fatal(err)
		}
	}
	if len(f.findBlocks(t, key(1))) != 0 || len(f.findBlocks(t, key(5))) != 1 {
		t.Error("a full store did not evict its oldest block for the newest")
	}
}

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault medlarfault.Name
		want  medlarstore.Kind
	}{
		{"unavailable", medlarfault.Down, medlarstore.KindUnavailable},
		{"full", medlarfault.Full, medlarstore.KindFull},
		{"lost response", medlarfault.Lost, medlarstore.KindUnavailable},
		{"truncated response", medlarfault.Cut, medlarstore.KindUnavailable},
		{"delayed effect", medlarfault.Late, medlarstore.KindUnavailable},
		{"conflict", medlarfault.Refuse, medlarstore.KindStale},
		{"slow", medlarfault.Slow, ""},
		{"duplicate request", medlarfault.Double, ""},
		{"invalid JSON", medlarfault.Malformed, medlarstore.KindUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if err := f.injector.Arm(medlarfault.Fault{Part: "store", Name: tc.fault, DelayText: "20ms"}); err != nil {
				t.Fatal(err)
			}
			_, err := f.client.Reserve(f.server.Address, "a", []medlarkey.Key{key(1)}, blockSize)
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
