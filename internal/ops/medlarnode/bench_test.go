package medlarnode_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/ops/medlarnode"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/stand/medlarfakeengine"
	"medlarfield/internal/stand/medlarstage"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
)

// benchStage is a stage whose engines answer at once, with one entry instance.
func benchStage(b *testing.B, slots int) (*medlarstage.Stage, *medlarstage.RunningNode) {
	b.Helper()
	cfg := medlarstage.Default()
	cfg.Engines, cfg.Lag = 1, 0
	cfg.Engine = func(e *medlarfakeengine.Settings) {
		e.Speed, e.Decode, e.Slots, e.Lag = 1e6, 0, slots, 0
	}
	stage, err := medlarstage.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stage.Close)
	lists, err := medlarstage.Lists()
	if err != nil {
		b.Fatal(err)
	}
	if _, err := stage.Publish(lists); err != nil {
		b.Fatal(err)
	}
	node, err := stage.StartNode(stage.NodeSettings(0), io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = node.Stop(time.Second) })
	return stage, node
}

// times are the times of one request.
type times struct{ first, total time.Duration }

// direct runs a prompt on an engine without an entry instance.
func direct(b *testing.B, engines *medlarengine.Client, at medlarid.Address, text string, n int) times {
	b.Helper()
	salt := medlarkey.NewSalt("parish", "casework", "", "v1")
	begin := time.Now()
	s, err := engines.Run(at, medlarengine.Prompt{
		Request: medlarid.NewRequestID(), Run: "r", Model: "casework", Version: "v1",
		Text: text, Max: medlarid.Tokens(n), Salt: salt.String(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	t := times{}
	for {
		c, err := s.Next()
		if err != nil {
			b.Fatal(err)
		}
		if t.first == 0 {
			t.first = time.Since(begin)
		}
		if c.Last {
			t.total = time.Since(begin)
			return t
		}
	}
}

func through(b *testing.B, c *medlarclient.Client, at medlarid.Address, text string, n int) times {
	b.Helper()
	r, err := c.Complete(at, medlarclient.Prompt{Model: "casework", Text: text, Max: n, Stream: true})
	if err != nil || !r.Whole {
		b.Fatalf("%v, status %d, reason %q", err, r.Status, r.Reason)
	}
	return times{first: r.First, total: r.Total}
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// BenchmarkAddedLatency runs the same prompts in turn straight to the engine and
// through one entry instance, and reports the difference of the quantiles.
func BenchmarkAddedLatency(b *testing.B) {
	for _, tokens := range []int{100, 8000} {
		b.Run(fmt.Sprintf("prompt=%d", tokens), func(b *testing.B) {
			stage, node := benchStage(b, 64)
			engines := medlarengine.New(medlarhttp.New(time.Minute), time.Second, time.Second)
			client := medlarclient.New(medlarstage.Key)
			text := strings.Repeat("dues", tokens)
			var d, t [2][]time.Duration
			for range b.N {
				a := direct(b, engines, stage.Engines[0].Host.Address, text, 32)
				c := through(b, client, node.Address(), text, 32)
				d[0], d[1] = append(d[0], a.first), append(d[1], a.total)
				t[0], t[1] = append(t[0], c.first), append(t[1], c.total)
			}
			for i, name := range []string{"first", "total"} {
				for q, label := range map[float64]string{0.5: "p50", 0.95: "p95"} {
					added := quantile(t[i], q) - quantile(d[i], q)
					b.ReportMetric(float64(added.Microseconds()), "µs-"+name+"-"+label)
				}
			}
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// relayTokens is the length of the answers that BenchmarkRelay relays.
const relayTokens = 1000

// BenchmarkRelay relays streams and reports tokens for each second of processor
// time. An engine that has its answer ready sends it from memory, so that the
// processor time is that of the entry instance and of a caller that only reads.
func BenchmarkRelay(b *testing.B) {
	stage, node := benchStage(b, 256)
	_ = stage
	client := medlarhttp.New(time.Minute)
	body := fmt.Sprintf(`{"model":"casework","prompt":"x","max_tokens":%d,"stream":true}`, relayTokens)
	baseline := streamCost(b, func() int64 { return readEngine(b, client, stage.Engines[0].Host.Address) })
	begin := cpuTime()
	var bytes int64
	for b.Loop() {
		bytes += readAll(b, client, node.Address(), body)
	}
	used := cpuTime() - begin - time.Duration(b.N)*baseline
	tokens := float64(b.N * relayTokens)
	b.ReportMetric(tokens/used.Seconds(), "tokens/core-s")
	b.ReportMetric(float64(bytes)/tokens, "B/token")
}

// streamCost returns the processor time of one call of f.
func streamCost(b *testing.B, f func() int64) time.Duration {
	b.Helper()
	const n = 30
	f()
	begin := cpuTime()
	for range n {
		f()
	}
	return (cpuTime() - begin) / n
}

func readEngine(b *testing.B, c *medlarhttp.Client, at medlarid.Address) int64 {
	b.Helper()
	body := fmt.Sprintf(`{"request":"r","run":"r","model":"casework","version":"v1","prompt":"x","max_tokens":%d}`, relayTokens)
	return read(b, c, medlarhttp.Call{Method: "POST", Address: at, Path: "/v1/completions", Body: []byte(body)})
}

func readAll(b *testing.B, c *medlarhttp.Client, at medlarid.Address, body string) int64 {
	b.Helper()
	return read(b, c, medlarhttp.Call{
		Method: "POST", Address: at, Path: "/v1/completions", Body: []byte(body),
		Headers: []medlarhttp.Header{{Name: "Authorization", Value: "Bearer " + medlarstage.Key}},
	})
}

func read(b *testing.B, c *medlarhttp.Client, call medlarhttp.Call) int64 {
	b.Helper()
	s, err := c.Open(call)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var buf bytes.Buffer
	n, err := io.Copy(&buf, s.Body)
	if err != nil || !bytes.HasSuffix(buf.Bytes(), []byte("[DONE]\n\n")) {
		b.Fatalf("%v: a stream of %d bytes is not whole", err, n)
	}
	return n
}

// BenchmarkMemory reports the memory of an idle entry instance and of each open
// stream: heap and stacks in use.
func BenchmarkMemory(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		cfg := medlarstage.Default()
		cfg.Engines, cfg.Services, cfg.Lag = 5, 0, 0
		cfg.Engine = func(e *medlarfakeengine.Settings) { e.Decode, e.Slots, e.Queue = time.Hour, streams, streams }
		stage, err := medlarstage.New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		lists, err := medlarstage.Lists()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := stage.Publish(lists); err != nil {
			b.Fatal(err)
		}
		before := inUse()
		node, err := stage.StartNode(stage.NodeSettings(0), io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		idle := inUse()
		openStreams(b, stage, node.Node, streams)
		open := inUse()
		b.ReportMetric(float64(idle-before)/(1<<20), "MB-idle")
		b.ReportMetric(float64(open-idle)/streams/(1<<10), "KB/stream")
		stage.Close()
		_ = node.Stop(0)
	}
}

// openStreams opens n streams that wait for their first token. The stand-ins and
// the callers are in this process, so the figure is an upper bound.
func openStreams(b *testing.B, stage *medlarstage.Stage, node *medlarnode.Node, n int) {
	b.Helper()
	client := medlarclient.New(medlarstage.Key)
	for range n {
		go func() {
			_, _ = client.Complete(node.Address(), medlarclient.Prompt{Model: "casework", Text: "x", Max: 10, Stream: true})
		}()
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		running := 0
		for _, e := range stage.Engines {
			running += e.Load().Running
		}
		if running == n {
			return
		}
		if time.Now().After(until) {
			b.Fatalf("%d of %d streams are open, refused %v, retried %v", running, n, node.Status().Refused, node.Status().Retried)
		}
	}
}

func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
