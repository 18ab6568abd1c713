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
	"medlarfield/internal/stand/medlartestbed"
	"medlarfield/internal/upstream/medlarengine"
	"medlarfield/internal/upstream/medlarhttp"
)

// startBenchStage starts a stage whose engines answer at once, and one entry
// instance.
func startBenchStage(b *testing.B, slots int) (*medlartestbed.Testbed, *medlartestbed.RunningNode) {
	b.Helper()
	cfg := medlartestbed.Default()
	cfg.Engines, cfg.ListDelay = 1, 0
	cfg.Engine = func(e *medlarfakeengine.Settings) {
		e.Speed, e.Decode, e.Slots, e.Lag = 1e6, 0, slots, 0
	}
	stage, err := medlartestbed.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stage.Close)
	lists, err := medlartestbed.Lists()
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

// latencies are the times of one request to its first token and to its end.
type latencies struct{ first, total time.Duration }

// completeDirect runs a prompt on an engine, without an entry instance.
func completeDirect(b *testing.B, engines *medlarengine.Client, address medlarid.Address, text string, n int) latencies {
	b.Helper()
	salt := medlarkey.NewSalt("parish", "casework", "", "v1")
	begin := time.Now()
	s, err := engines.Run(address, medlarengine.RunRequest{
		RequestID: medlarid.NewRequestID(), RunID: "r", Model: "casework", Version: "v1",
		Prompt: text, MaxTokens: medlarid.Tokens(n), CacheSalt: salt.String(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	t := latencies{}
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

func completeThrough(b *testing.B, c *medlarclient.Client, address medlarid.Address, text string, n int) latencies {
	b.Helper()
	r, err := c.Complete(address, medlarclient.Prompt{Model: "casework", Text: text, MaxTokens: n, Stream: true})
	if err != nil || !r.Complete {
		b.Fatalf("%v, status %d, reason %q", err, r.Status, r.Reason)
	}
	return latencies{first: r.TimeToFirstToken, total: r.Total}
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// BenchmarkAddedLatency runs the same prompts alternately on the engine directly and
// through one entry instance, and reports the differences of the quantiles.
func BenchmarkAddedLatency(b *testing.B) {
	for _, tokens := range []int{100, 8000} {
		b.Run(fmt.Sprintf("prompt=%d", tokens), func(b *testing.B) {
			stage, node := startBenchStage(b, 64)
			engines := medlarengine.New(medlarhttp.New(time.Minute), time.Second, time.Second)
			client := medlarclient.New(medlartestbed.Key)
			text := strings.Repeat("dues", tokens)
			var direct, relayed [2][]time.Duration
			for range b.N {
				a := completeDirect(b, engines, stage.Engines[0].Server.Address, text, 32)
				c := completeThrough(b, client, node.Address(), text, 32)
				direct[0], direct[1] = append(direct[0], a.first), append(direct[1], a.total)
				relayed[0], relayed[1] = append(relayed[0], c.first), append(relayed[1], c.total)
			}
			for i, name := range []string{"first", "total"} {
				for q, label := range map[float64]string{0.5: "p50", 0.95: "p95"} {
					added := quantile(relayed[i], q) - quantile(direct[i], q)
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

// relayTokens is the number of tokens of each answer in BenchmarkRelay.
const relayTokens = 1000

// BenchmarkRelay relays streams and reports the tokens per second of processor time.
// The engine has its answer ready and sends it from memory, so the time is that of
// the entry instance and of a caller that only reads. The time to read such a stream
// directly from the engine is subtracted.
func BenchmarkRelay(b *testing.B) {
	stage, node := startBenchStage(b, 256)
	_ = stage
	client := medlarhttp.New(time.Minute)
	body := fmt.Sprintf(`{"model":"casework","prompt":"x","max_tokens":%d,"stream":true}`, relayTokens)
	baseline := streamCost(b, func() int64 { return readEngine(b, client, stage.Engines[0].Server.Address) })
	begin := cpuTime()
	var bytes int64
	for b.Loop() {
		bytes += readNode(b, client, node.Address(), body)
	}
	netCPUTime := cpuTime() - begin - time.Duration(b.N)*baseline
	tokens := float64(b.N * relayTokens)
	b.ReportMetric(tokens/netCPUTime.Seconds(), "tokens/core-s")
	b.ReportMetric(float64(bytes)/tokens, "B/token")
}

// streamCost returns the mean processor time of a call of f, after one warm-up call.
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

func readEngine(b *testing.B, c *medlarhttp.Client, address medlarid.Address) int64 {
	b.Helper()
	body := fmt.Sprintf(`{"request":"r","run":"r","model":"casework","version":"v1","prompt":"x","max_tokens":%d}`, relayTokens)
	return readStream(b, c, medlarhttp.Request{Method: "POST", Address: address, Path: "/v1/completions", Body: []byte(body)})
}

func readNode(b *testing.B, c *medlarhttp.Client, address medlarid.Address, body string) int64 {
	b.Helper()
	return readStream(b, c, medlarhttp.Request{
		Method: "POST", Address: address, Path: "/v1/completions", Body: []byte(body),
		Headers: []medlarhttp.Header{{Name: "Authorization", Value: "Bearer " + medlartestbed.Key}},
	})
}

func readStream(b *testing.B, c *medlarhttp.Client, call medlarhttp.Request) int64 {
	b.Helper()
	s, err := c.Open(call)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var buf bytes.Buffer
	n, err := io.Copy(&buf, s.Body)
	if err != nil || !bytes.HasSuffix(buf.Bytes(), []byte("[DONE]\n\n")) {
		b.Fatalf("%v: stream incomplete after %d bytes", err, n)
	}
	return n
}

// BenchmarkMemory reports the heap and stack memory in use by an idle entry instance
// and by each open stream.
func BenchmarkMemory(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		cfg := medlartestbed.Default()
		cfg.Engines, cfg.Services, cfg.ListDelay = 5, 0, 0
		cfg.Engine = func(e *medlarfakeengine.Settings) { e.Decode, e.Slots, e.Queue = time.Hour, streams, streams }
		stage, err := medlartestbed.New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		lists, err := medlartestbed.Lists()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := stage.Publish(lists); err != nil {
			b.Fatal(err)
		}
		before := memoryInUse()
		node, err := stage.StartNode(stage.NodeSettings(0), io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		idle := memoryInUse()
		openStreams(b, stage, node.Node, streams)
		open := memoryInUse()
		b.ReportMetric(float64(idle-before)/(1<<20), "MB-idle")
		b.ReportMetric(float64(open-idle)/streams/(1<<10), "KB/stream")
		stage.Close()
		_ = node.Stop(0)
	}
}

// openStreams opens n streams that wait for their first token. The fake engines and
// the callers run in this process too, so the memory per stream is an upper bound.
func openStreams(b *testing.B, stage *medlartestbed.Testbed, node *medlarnode.Node, n int) {
	b.Helper()
	client := medlarclient.New(medlartestbed.Key)
	for range n {
		go func() {
			_, _ = client.Complete(node.Address(), medlarclient.Prompt{Model: "casework", Text: "x", MaxTokens: 10, Stream: true})
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
			b.Fatalf("%d of %d streams open; refused %v, retried %v", running, n, node.Status().Refused, node.Status().Retried)
		}
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
