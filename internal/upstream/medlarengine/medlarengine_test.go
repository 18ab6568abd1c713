package medlarengine_test

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarstore"
)

const (
	engineName   = "engine-1"
	storeName    = "store-1"
	timeout      = 300 * time.Millisecond
	answerTokens = 12
)

type fixture struct {
	stage  *medlartestbed.Testbed
	client *medlarengine.Client
	stores *medlarstore.Client
}

func newFixture(t *testing.T, change func(*medlarfakeengine.Settings)) *fixture {
	t.Helper()
	cfg := medlartestbed.Default()
	cfg.Engines, cfg.Stores, cfg.Services, cfg.Speed = 2, 1, 0, 50
	cfg.Engine = func(s *medlarfakeengine.Settings) {
		s.Lag = 0
		if change != nil {
			change(s)
		}
	}
	stage, err := medlartestbed.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stage.Close)
	h := medlarhttp.New(timeout)
	return &fixture{stage: stage, client: medlarengine.New(h, timeout, time.Second), stores: medlarstore.New(h, timeout)}
}

func (f *fixture) injectFault(t *testing.T, part string, name medlarfault.Name, count int) {
	t.Helper()
	if err := f.stage.Injector.Arm(medlarfault.Fault{Part: part, Name: name, Count: count}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.stage.Injector.Arm(medlarfault.Fault{Part: part, Name: name, Clear: true}) })
}

func (f *fixture) engineAddress(engine int) medlarid.Address {
	return f.stage.Engines[engine].Server.Address
}

func cacheSalt() medlarkey.Salt { return medlarkey.NewSalt("a", "casework", "", "v1") }

func promptText() string { return strings.Repeat("dues paid ", 128) } // five blocks

func newRunRequest() medlarengine.RunRequest {
	return medlarengine.RunRequest{
		RequestID: medlarid.NewRequestID(), RunID: "r1", Model: "casework", Version: "v1",
		Prompt: promptText(), MaxTokens: answerTokens, CacheSalt: cacheSalt().String(),
	}
}

// collect reads a stream to its end and returns its texts and its last chunk.
func collect(s *medlarengine.Stream) (texts []string, final medlarengine.Chunk, err error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil || c.Last {
			return texts, c, err
		}
		texts = append(texts, c.Texts...)
	}
}

func (f *fixture) run(t *testing.T, engine int, p medlarengine.RunRequest) (string, medlarengine.Usage) {
	t.Helper()
	s, err := f.client.Run(f.engineAddress(engine), p)
	if err != nil {
		t.Fatal(err)
	}
	texts, final, err := collect(s)
	if err != nil || len(texts) != answerTokens-p.ResumeParts {
		t.Fatalf("%d parts: %v", len(texts), err)
	}
	return strings.Join(texts, ""), final.Usage
}

func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []medlarfault.Name
		want   medlarengine.Kind // empty for a complete answer
	}{
		{"no fault", nil, ""},
		{"duplicate parts", []medlarfault.Name{medlarfault.Repeat}, ""},
		{"out of order", []medlarfault.Name{medlarfault.Shuffle}, ""},
		{"duplicates out of order", []medlarfault.Name{medlarfault.Repeat, medlarfault.Shuffle}, ""},
		{"missing part", []medlarfault.Name{medlarfault.Skip}, medlarengine.KindTruncated},
		{"truncated", []medlarfault.Name{medlarfault.Break}, medlarengine.KindTruncated},
		{"truncated and out of order", []medlarfault.Name{medlarfault.Break, medlarfault.Shuffle}, medlarengine.KindTruncated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, nil)
			want, _ := f.run(t, 1, newRunRequest())
			for _, name := range tc.faults {
				f.injectFault(t, engineName, name, 3)
			}
			s, err := f.client.Run(f.engineAddress(0), newRunRequest())
			if err != nil {
				t.Fatal(err)
			}
			texts, _, err := collect(s)
			assertErrorKind(t, err, tc.want)
			if tc.want == "" && strings.Join(texts, "") != want {
				t.Errorf("got %q, want %q", strings.Join(texts, ""), want)
			}
		})
	}
}

func assertErrorKind(t *testing.T, err error, want medlarengine.Kind) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Fatalf("failed: %v", err)
	case want != "" && (err == nil || medlarengine.KindOf(err) != want):
		t.Fatalf("got %v, want kind %s", err, want)
	}
}

// TestTruncatedStreamIsNotComplete guards against an answer that counts as complete although
// the engine closed its connection before [DONE], wherever the stream was cut.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	const stream = `data: {"version":"v1","seq":0,"choices":[{"text":"a"}]}` + "\n\n" +
		`data: {"version":"v1","seq":1,"choices":[{"finish_reason":"stop"}],"usage":{}}` + "\n\ndata: [DONE]\n"
	client := medlarengine.New(medlarhttp.New(timeout), timeout, timeout)
	for n := range len(stream) + 1 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go serveCut(ln, stream[:n])
		s, err := client.Run(medlarid.Address(ln.Addr().String()), newRunRequest())
		if err != nil {
			t.Fatal(err)
		}
		_, final, err := collect(s)
		if complete := n == len(stream); final.Last != complete || (err == nil) != complete {
			t.Errorf("cut after %d of %d bytes: complete %v, error %v", n, len(stream), final.Last, err)
		}
	}
}

// serveCut serves one stream that is delimited by the end of its connection.
func serveCut(ln net.Listener, stream string) {
	defer func() { _ = ln.Close() }()
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	h, err := medlarhead.ReadRequest(br, 4096)
	if err != nil {
		return
	}
	if _, err := medlarframing.ReadBody(br, h, 1<<20); err == nil {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + stream))
	}
}

func TestRunErrors(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fault      medlarfault.Name
		want       medlarengine.Kind
		mayHaveRun bool
	}{
		{"unavailable", medlarfault.Down, medlarengine.KindBusy, false},
		{"another weight version", medlarfault.Version, medlarengine.KindVersion, false},
		{"connection closed", medlarfault.Lost, medlarengine.KindBroken, true},
		{"no response", medlarfault.Freeze, medlarengine.KindTimeout, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.injectFault(t, engineName, tc.fault, 0)
			_, err := f.client.Run(f.engineAddress(0), newRunRequest())
			assertErrorKind(t, err, tc.want)
			assertMayHaveRun(t, err, tc.mayHaveRun)
		})
	}
	t.Run("killed", func(t *testing.T) {
		f := newFixture(t, nil)
		if err := f.stage.Kill(engineName); err != nil {
			t.Fatal(err)
		}
		_, err := f.client.Run(f.engineAddress(0), newRunRequest())
		assertErrorKind(t, err, medlarengine.KindUnreachable)
		assertMayHaveRun(t, err, false)
	})
}

func assertMayHaveRun(t *testing.T, err error, want bool) {
	t.Helper()
	var e *medlarengine.Error
	if !errors.As(err, &e) || e.MayHaveRun() != want {
		t.Errorf("error %v: MayHaveRun is not %v", err, want)
	}
}

func TestResumeContinuesText(t *testing.T) {
	f := newFixture(t, nil)
	full, _ := f.run(t, 0, newRunRequest())
	p := newRunRequest()
	p.ResumeParts = 5
	resumed, _ := f.run(t, 1, p)
	if !strings.HasSuffix(full, resumed) || resumed == full {
		t.Errorf("resumed text %q is not a proper suffix of %q", resumed, full)
	}
}

func TestCancelStopsRun(t *testing.T) {
	f := newFixture(t, func(s *medlarfakeengine.Settings) { s.Decode = time.Second })
	s, err := f.client.Run(f.engineAddress(0), newRunRequest())
	if err != nil {
		t.Fatal(err)
	}
	if err := f.client.Cancel(f.engineAddress(0), "r1"); err != nil {
		t.Fatal(err)
	}
	_, _, err = collect(s)
	assertErrorKind(t, err, medlarengine.KindTruncated)
}

// exportBlocks runs the prompt on engine 0 and commits its blocks to the store.
func (f *fixture) exportBlocks(t *testing.T) []medlarengine.Block {
	t.Helper()
	f.run(t, 0, newRunRequest())
	at := f.stage.Stores[0].Server.Address
	reserved, err := f.stores.Reserve(at, "a", medlarkey.Chain(cacheSalt(), promptText()), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	var blocks []medlarengine.Block
	for _, b := range reserved {
		blocks = append(blocks, medlarengine.Block{Key: b.Key, Store: at, Slot: b.Slot, Generation: b.Generation})
	}
	exported, err := f.client.Export(f.engineAddress(0), blocks)
	if err != nil || len(exported) != len(blocks) {
		t.Fatalf("exported %d of %d: %v", len(exported), len(blocks), err)
	}
	for i := range reserved {
		reserved[i].Length, reserved[i].Checksum = exported[i].Length, exported[i].Checksum
	}
	if err := f.stores.Commit(at, reserved); err != nil {
		t.Fatal(err)
	}
	return exported
}

func TestImportUsesStoredBlocks(t *testing.T) {
	f := newFixture(t, nil)
	blocks := f.exportBlocks(t)
	if err := f.client.Import(f.engineAddress(1), "t1", blocks, time.Second); err != nil {
		t.Fatal(err)
	}
	p := newRunRequest()
	p.Ticket = "t1"
	_, usage := f.run(t, 1, p)
	if want := medlarid.Tokens(len(blocks)) * medlarkey.BlockTokens; usage.Cached != want {
		t.Errorf("%d cached tokens, want %d", usage.Cached, want)
	}
}

func TestImportRejectsWrongBlocks(t *testing.T) {
	for _, tc := range []struct {
		name    string
		corrupt func(*testing.T, *fixture, []medlarengine.Block)
	}{
		{"corrupt data", func(t *testing.T, f *fixture, _ []medlarengine.Block) {
			f.injectFault(t, storeName, medlarfault.Corrupt, 1)
		}},
		{"old generation", func(_ *testing.T, _ *fixture, b []medlarengine.Block) { b[1].Generation-- }},
		{"another length", func(_ *testing.T, _ *fixture, b []medlarengine.Block) { b[1].Length++ }},
		{"another checksum", func(_ *testing.T, _ *fixture, b []medlarengine.Block) { b[1].Checksum++ }},
		{"freed slot", func(t *testing.T, f *fixture, b []medlarengine.Block) { f.freeBlock(t, b[2]) }},
		{"freed and reused slot", func(t *testing.T, f *fixture, b []medlarengine.Block) { f.freeBlock(t, b[2]); f.reuseSlot(t) }},
		{"store unavailable", func(t *testing.T, f *fixture, _ []medlarengine.Block) {
			f.injectFault(t, storeName, medlarfault.Down, 0)
		}},
		{"store killed", func(_ *testing.T, f *fixture, _ []medlarengine.Block) { _ = f.stage.Kill(storeName) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, nil)
			blocks := f.exportBlocks(t)
			tc.corrupt(t, f, blocks)
			err := f.client.Import(f.engineAddress(1), "t1", blocks, time.Second)
			assertErrorKind(t, err, medlarengine.KindMismatch)
		})
	}
}

func (f *fixture) freeBlock(t *testing.T, b medlarengine.Block) {
	t.Helper()
	if err := f.stores.Free(b.Store, []medlarstore.Block{{Slot: b.Slot, Generation: b.Generation}}); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) reuseSlot(t *testing.T) {
	t.Helper()
	if _, err := f.stores.Reserve(f.stage.Stores[0].Server.Address, "a", []medlarkey.Key{{9}}, 4<<20); err != nil {
		t.Fatal(err)
	}
}

func TestImportTimeout(t *testing.T) {
	f := newFixture(t, nil)
	blocks := f.exportBlocks(t)
	f.injectFault(t, storeName, medlarfault.Freeze, 0)
	start := time.Now()
	err := f.client.Import(f.engineAddress(1), "t1", blocks, 50*time.Millisecond)
	assertErrorKind(t, err, medlarengine.KindTimeout)
	if elapsed := time.Since(start); elapsed > 200*time.Millisecond {
		t.Errorf("an import with a timeout of 50 ms took %v", elapsed)
	}
}

func TestSendOrderChecksFencingToken(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fenced     bool
		token      uint64
		want       medlarengine.Kind
		wantLoaded medlarid.WeightVersion
	}{
		{"newer token", true, 8, "", "v2"},
		{"same token again", true, 7, "", "v2"},
		{"old token on an engine that checks", true, 6, medlarengine.KindFenced, "v1"},
		{"old token on an engine that does not check", false, 6, "", "v2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, func(s *medlarfakeengine.Settings) { s.Fenced, s.LoadTime = tc.fenced, 0 })
			first := medlarengine.Order{FencingToken: 7, Model: "casework", Version: "v1"}
			if err := f.client.SendOrder(f.engineAddress(0), first); err != nil {
				t.Fatal(err)
			}
			assertErrorKind(t, f.client.SendOrder(f.engineAddress(0), medlarengine.Order{FencingToken: tc.token, Model: "casework", Version: "v2"}), tc.want)
			assertLoaded(t, f, tc.wantLoaded)
		})
	}
}

func assertLoaded(t *testing.T, f *fixture, want medlarid.WeightVersion) {
	t.Helper()
	var l medlarengine.Load
	for range 50 {
		var err error
		if l, err = f.client.Status(f.engineAddress(0)); err != nil {
			t.Fatal(err)
		}
		if l.Version == want && !l.Loading {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Errorf("weight version %s is loaded, want %s", l.Version, want)
}

func TestEventsReportCacheChanges(t *testing.T) {
	f := newFixture(t, nil)
	f.run(t, 0, newRunRequest())
	ev, err := f.client.Events(f.engineAddress(0), 0)
	if err != nil || len(ev.Events) != 1 || len(ev.Events[0].Stored) != 5 {
		t.Fatalf("got %+v, %v; want one event with five stored blocks", ev, err)
	}
	f.stage.Evict()
	ev, err = f.client.Events(f.engineAddress(0), ev.Next)
	if err != nil || len(ev.Events) != 1 || len(ev.Events[0].Evicted) != 5 {
		t.Fatalf("got %+v, %v; want one event with five evicted blocks", ev, err)
	}
}
