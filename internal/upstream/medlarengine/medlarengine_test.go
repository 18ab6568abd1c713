package medlarengine_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarstage"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarstore"
)

const (
	engineName = "engine-1"
	storeName  = "store-1"
	timeout    = 300 * time.Millisecond
	answer     = 12
)

type fixture struct {
	stage  *medlarstage.Stage
	client *medlarengine.Client
	stores *medlarstore.Client
}

func start(t *testing.T, change func(*medlarfakeengine.Settings)) *fixture {
	t.Helper()
	cfg := medlarstage.Default()
	cfg.Engines, cfg.Stores, cfg.Services, cfg.Speed = 2, 1, 0, 50
	cfg.Engine = func(s *medlarfakeengine.Settings) {
		s.Lag = 0
		if change != nil {
			change(s)
		}
	}
	stage, err := medlarstage.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stage.Close)
	h := medlarhttp.New(timeout)
	return &fixture{stage: stage, client: medlarengine.New(h, timeout, time.Second), stores: medlarstore.New(h, timeout)}
}

func (f *fixture) arm(t *testing.T, part string, name medlarfault.Name, count int) {
	t.Helper()
	if err := f.stage.Board.Arm(medlarfault.Fault{Part: part, Name: name, Count: count}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.stage.Board.Arm(medlarfault.Fault{Part: part, Name: name, Clear: true}) })
}

func (f *fixture) at(n int) medlarid.Address { return f.stage.Engines[n].Host.Address }

func salt() medlarkey.Salt { return medlarkey.NewSalt("a", "casework", "", "v1") }

func text() string { return strings.Repeat("dues paid ", 128) } // five blocks

func prompt() medlarengine.RunRequest {
	return medlarengine.RunRequest{
		Request: medlarid.NewRequestID(), RunID: "r1", Model: "casework", Version: "v1",
		Prompt: text(), MaxTokens: answer, CacheSalt: salt().String(),
	}
}

// collect reads a stream to its end.
func collect(s *medlarengine.Stream) (texts []string, last medlarengine.Chunk, err error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil || c.Last {
			return texts, c, err
		}
		texts = append(texts, c.Texts...)
	}
}

func (f *fixture) run(t *testing.T, n int, p medlarengine.RunRequest) (string, medlarengine.Usage) {
	t.Helper()
	s, err := f.client.Run(f.at(n), p)
	if err != nil {
		t.Fatal(err)
	}
	texts, last, err := collect(s)
	if err != nil || len(texts) != answer-p.ResumeParts {
		t.Fatalf("%d parts: %v", len(texts), err)
	}
	return strings.Join(texts, ""), last.Usage
}

func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []medlarfault.Name
		want   medlarengine.Kind // empty for a whole answer
	}{
		{"no fault", nil, ""},
		{"parts twice", []medlarfault.Name{medlarfault.Repeat}, ""},
		{"out of order", []medlarfault.Name{medlarfault.Shuffle}, ""},
		{"twice and out of order", []medlarfault.Name{medlarfault.Repeat, medlarfault.Shuffle}, ""},
		{"a part missing", []medlarfault.Name{medlarfault.Skip}, medlarengine.KindTruncated},
		{"cut", []medlarfault.Name{medlarfault.Break}, medlarengine.KindTruncated},
		{"cut and out of order", []medlarfault.Name{medlarfault.Break, medlarfault.Shuffle}, medlarengine.KindTruncated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, nil)
			want, _ := f.run(t, 1, prompt())
			for _, name := range tc.faults {
				f.arm(t, engineName, name, 3)
			}
			s, err := f.client.Run(f.at(0), prompt())
			if err != nil {
				t.Fatal(err)
			}
			texts, _, err := collect(s)
			assertEnd(t, err, tc.want)
			if tc.want == "" && strings.Join(texts, "") != want {
				t.Errorf("got %q, want %q", strings.Join(texts, ""), want)
			}
		})
	}
}

func assertEnd(t *testing.T, err error, want medlarengine.Kind) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Fatalf("failed: %v", err)
	case want != "" && (err == nil || medlarengine.KindOf(err) != want):
		t.Fatalf("got %v, want kind %s", err, want)
	}
}

func TestRunErrors(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   medlarfault.Name
		want    medlarengine.Kind
		reached bool
	}{
		{"down", medlarfault.Down, medlarengine.KindBusy, false},
		{"another weight version", medlarfault.Version, medlarengine.KindVersion, false},
		{"connection closed", medlarfault.Lost, medlarengine.KindBroken, true},
		{"frozen", medlarfault.Freeze, medlarengine.KindTimeout, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, nil)
			f.arm(t, engineName, tc.fault, 0)
			_, err := f.client.Run(f.at(0), prompt())
			assertEnd(t, err, tc.want)
			assertReached(t, err, tc.reached)
		})
	}
	t.Run("killed", func(t *testing.T) {
		f := start(t, nil)
		if err := f.stage.Kill(engineName); err != nil {
			t.Fatal(err)
		}
		_, err := f.client.Run(f.at(0), prompt())
		assertEnd(t, err, medlarengine.KindUnreachable)
		assertReached(t, err, false)
	})
}

func assertReached(t *testing.T, err error, want bool) {
	t.Helper()
	var e *medlarengine.Error
	if !errors.As(err, &e) || e.MayHaveRun() != want {
		t.Errorf("%v: reached is not %v", err, want)
	}
}

func TestResumeContinuesText(t *testing.T) {
	f := start(t, nil)
	whole, _ := f.run(t, 0, prompt())
	p := prompt()
	p.ResumeParts = 5
	rest, _ := f.run(t, 1, p)
	if !strings.HasSuffix(whole, rest) || rest == whole {
		t.Errorf("resumed %q is no end of %q", rest, whole)
	}
}

func TestCancelStopsRun(t *testing.T) {
	f := start(t, func(s *medlarfakeengine.Settings) { s.Decode = time.Second })
	s, err := f.client.Run(f.at(0), prompt())
	if err != nil {
		t.Fatal(err)
	}
	if err := f.client.Cancel(f.at(0), "r1"); err != nil {
		t.Fatal(err)
	}
	_, _, err = collect(s)
	assertEnd(t, err, medlarengine.KindTruncated)
}

// export runs the prompt on engine 0 and keeps its blocks in the store.
func (f *fixture) export(t *testing.T) []medlarengine.Block {
	t.Helper()
	f.run(t, 0, prompt())
	at := f.stage.Stores[0].Host.Address
	reserved, err := f.stores.Reserve(at, "a", medlarkey.Chain(salt(), text()), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	var blocks []medlarengine.Block
	for _, b := range reserved {
		blocks = append(blocks, medlarengine.Block{Key: b.Key, Store: at, Slot: b.Slot, Generation: b.Generation})
	}
	done, err := f.client.Export(f.at(0), blocks)
	if err != nil || len(done) != len(blocks) {
		t.Fatalf("exported %d of %d: %v", len(done), len(blocks), err)
	}
	for i := range reserved {
		reserved[i].Length, reserved[i].Checksum = done[i].Length, done[i].Checksum
	}
	if err := f.stores.Commit(at, reserved); err != nil {
		t.Fatal(err)
	}
	return done
}

func TestImportUsesStoredBlocks(t *testing.T) {
	f := start(t, nil)
	blocks := f.export(t)
	if err := f.client.Import(f.at(1), "t1", blocks, time.Second); err != nil {
		t.Fatal(err)
	}
	p := prompt()
	p.Ticket = "t1"
	_, usage := f.run(t, 1, p)
	if want := medlarid.Tokens(len(blocks)) * medlarkey.BlockTokens; usage.Cached != want {
		t.Errorf("%d tokens were cached, want %d", usage.Cached, want)
	}
}

func TestImportRejectsWrongBlocks(t *testing.T) {
	for _, tc := range []struct {
		name   string
		damage func(*testing.T, *fixture, []medlarengine.Block)
	}{
		{"corrupt data", func(t *testing.T, f *fixture, _ []medlarengine.Block) { f.arm(t, storeName, medlarfault.Corrupt, 1) }},
		{"old generation", func(_ *testing.T, _ *fixture, b []medlarengine.Block) { b[1].Generation-- }},
		{"another length", func(_ *testing.T, _ *fixture, b []medlarengine.Block) { b[1].Length++ }},
		{"another checksum", func(_ *testing.T, _ *fixture, b []medlarengine.Block) { b[1].Checksum++ }},
		{"freed slot", func(t *testing.T, f *fixture, b []medlarengine.Block) { f.free(t, b[2]) }},
		{"freed and reused slot", func(t *testing.T, f *fixture, b []medlarengine.Block) { f.free(t, b[2]); f.reserveOther(t) }},
		{"store down", func(t *testing.T, f *fixture, _ []medlarengine.Block) { f.arm(t, storeName, medlarfault.Down, 0) }},
		{"store killed", func(_ *testing.T, f *fixture, _ []medlarengine.Block) { _ = f.stage.Kill(storeName) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, nil)
			blocks := f.export(t)
			tc.damage(t, f, blocks)
			err := f.client.Import(f.at(1), "t1", blocks, time.Second)
			assertEnd(t, err, medlarengine.KindMismatch)
		})
	}
}

func (f *fixture) free(t *testing.T, b medlarengine.Block) {
	t.Helper()
	if err := f.stores.Free(b.Store, []medlarstore.Block{{Slot: b.Slot, Generation: b.Generation}}); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) reserveOther(t *testing.T) {
	t.Helper()
	if _, err := f.stores.Reserve(f.stage.Stores[0].Host.Address, "a", []medlarkey.Key{{9}}, 4<<20); err != nil {
		t.Fatal(err)
	}
}

func TestImportTimeout(t *testing.T) {
	f := start(t, nil)
	blocks := f.export(t)
	f.arm(t, storeName, medlarfault.Freeze, 0)
	begin := time.Now()
	err := f.client.Import(f.at(1), "t1", blocks, 50*time.Millisecond)
	assertEnd(t, err, medlarengine.KindTimeout)
	if took := time.Since(begin); took > 200*time.Millisecond {
		t.Errorf("an import within 50 ms took %v", took)
	}
}

func TestSendOrderChecksFencingToken(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fenced bool
		fence  uint64
		want   medlarengine.Kind
		loaded medlarid.WeightVersion
	}{
		{"newer number", true, 8, "", "v2"},
		{"same number again", true, 7, "", "v2"},
		{"old number on an engine that checks", true, 6, medlarengine.KindFenced, "v1"},
		{"old number on an engine that does not", false, 6, "", "v2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, func(s *medlarfakeengine.Settings) { s.Fenced, s.LoadTime = tc.fenced, 0 })
			first := medlarengine.Order{FencingToken: 7, Model: "casework", Version: "v1"}
			if err := f.client.SendOrder(f.at(0), first); err != nil {
				t.Fatal(err)
			}
			assertEnd(t, f.client.SendOrder(f.at(0), medlarengine.Order{FencingToken: tc.fence, Model: "casework", Version: "v2"}), tc.want)
			assertLoaded(t, f, tc.loaded)
		})
	}
}

func assertLoaded(t *testing.T, f *fixture, want medlarid.WeightVersion) {
	t.Helper()
	var l medlarengine.Load
	for range 50 {
		var err error
		if l, err = f.client.Status(f.at(0)); err != nil {
			t.Fatal(err)
		}
		if l.Version == want && !l.Loading {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Errorf("version %s is loaded, want %s", l.Version, want)
}

func TestEventsReportCacheChanges(t *testing.T) {
	f := start(t, nil)
	f.run(t, 0, prompt())
	ev, err := f.client.Events(f.at(0), 0)
	if err != nil || len(ev.Events) != 1 || len(ev.Events[0].Stored) != 5 {
		t.Fatalf("got %+v, %v; want one event with five blocks stored", ev, err)
	}
	f.stage.Evict()
	ev, err = f.client.Events(f.at(0), ev.Next)
	if err != nil || len(ev.Events) != 1 || len(ev.Events[0].Evicted) != 5 {
		t.Fatalf("got %+v, %v; want one event with five blocks evicted", ev, err)
	}
}
