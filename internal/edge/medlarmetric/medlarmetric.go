// Package medlarmetric defines the Prometheus metrics of an instance.
package medlarmetric

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/base/medlarmemory"
	"medlarfield/internal/core/medlarreason"
)

const namespace = "medlar"

// ttftBuckets are the bucket bounds of the time to first token, in seconds.
var ttftBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .5, .69, 1, 1.5, 2.5, 5, 10, 30}

// stageBuckets are the bucket bounds of the stages, in seconds. The first ones are
// below a millisecond, since that is how long the wait stage takes while upstreams
// have capacity.
var stageBuckets = []float64{.0002, .0005, .001, .003, .01, .03, .1, .2, .4, .69, 1, 2, 4, 10, 30}

// Stage is a part of the time of a request. Unless stated otherwise, it starts when the
// request arrives.
type Stage string

// Stages of a request.
const (
	StageWait       Stage = "wait"    // until the first attempt
	StageConnect    Stage = "connect" // from the start of the last attempt until it has a connection
	StageFirstByte  Stage = "first"   // until the first byte of the answer
	StageLongestGap Stage = "gap"     // longest pause between parts of the answer
	StageTotal      Stage = "total"
)

// ResponseEnd is how the body of an upstream's response ended.
type ResponseEnd string

// Ends of responses.
const (
	EndComplete ResponseEnd = "complete" // as its framing requires
	EndPartial  ResponseEnd = "partial"  // as its framing requires, but within an event
	EndBroken   ResponseEnd = "broken"   // the connection failed or the caller left before the end
)

// Metrics are the metrics of an instance.
type Metrics struct {
	registry       *prometheus.Registry
	refusals       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	answers        *prometheus.CounterVec
	responses      *prometheus.CounterVec
	followed       *prometheus.CounterVec
	ttft           *prometheus.HistogramVec
	stages         *prometheus.HistogramVec
	tokens         *prometheus.CounterVec
	bytesMoved     *prometheus.CounterVec
	connects       *prometheus.CounterVec
	asked          *prometheus.CounterVec
	proofs         *prometheus.CounterVec
	relayed        *prometheus.CounterVec
	cut            prometheus.Gauge
	brokenPaths    prometheus.Gauge
	evacuated      prometheus.Gauge
	paced          prometheus.Gauge
	heldBack       prometheus.Counter
	reserved       prometheus.Counter
	ejections      prometheus.Counter
	hints          *prometheus.CounterVec
	lost           *prometheus.CounterVec
	rejections     *prometheus.CounterVec
	crashes        prometheus.Counter
	blocked        prometheus.Gauge
	exportsDropped prometheus.Counter
	replays        prometheus.Counter
	callFailures   *prometheus.CounterVec
	malformed      *prometheus.CounterVec
	listReads      *prometheus.CounterVec
	orders         *prometheus.CounterVec
	storeReads     *prometheus.CounterVec
	version        prometheus.Gauge
	era            prometheus.Gauge
	waiting        prometheus.Gauge
	open           prometheus.Gauge
	ticks          prometheus.Counter
}

// New returns metrics with the counters of every reason at zero, so that all of them
// are exported.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.refusals = m.newCounterVec("refusals_total", "Requests refused, by reason.", "reason")
	m.retries = m.newCounterVec("retries_total", "Attempts repeated, by reason.", "reason")
	m.answers = m.newCounterVec("answers_total", "Requests answered, by kind.", "kind")
	m.responses = m.newCounterVec("responses_total", "Responses of replicas, by framing of the body and by its end: complete, partial, broken.", "framing", "end")
	m.followed = m.newCounterVec("followed_responses_total", "Responses of replicas behind whose body further bytes came, by framing of the body.", "framing")
	m.lost = m.newCounterVec("lost_total", "Attempts whose connection the replica ended before the response was complete, by whether an event had been received.", "began")
	m.rejections = m.newCounterVec("rejections_total", "Rejections of attempts, by what shows that they belong to the attempt: id, conn, none.", "proof")
	m.connects = m.newCounterVec("connects_total", "Attempts to open direct connections to replicas, by result: opened, refused, silent, failed.", "result")
	m.proofs = m.newCounterVec("proofs_total", "Calls to replicas that find out whether the direct path works, by result: answered, unanswered, ended, refused, silent, failed.", "result")
	m.asked = m.newCounterVec("asked_total", "Answers of other instances that were asked to relay a connection to a replica: opened, refused, silent, unhelpful.", "result")
	m.relayed = m.newCounterVec("relayed_total", "Requests of other instances to relay a connection to a replica, by whether it was opened.", "opened")
	m.cut = m.newGauge("cut", "1 while this instance reaches no replica directly although others do.")
	m.brokenPaths = m.newGauge("broken_paths", "Replicas that this instance does not reach directly although others do.")
	m.hints = m.newCounterVec("hints_total", "What replicas said in responses about further requests: leaving, pause, limit, brittle, malformed.", "kind")
	m.tokens = m.newCounterVec("tokens_total", "Tokens, by kind: prompt, cached, completion.", "kind")
	m.bytesMoved = m.newCounterVec("moved_bytes_total", "Bytes of kept context moved, by direction.", "direction")
	m.callFailures = m.newCounterVec("platform_failures_total", "Failed calls to the platform, by part.", "part")
	m.malformed = m.newCounterVec("malformed_total", "Records of others that are ignored since they cannot be decoded, by source: replicas, operators, stores.", "source")
	m.listReads = m.newCounterVec("lists_reads_total", "Reads of the lists stream, by source: log, relay.", "source")
	m.storeReads = m.newCounterVec("store_reads_total", "Reports on the contents of KV stores, by source: store for answered calls, peer for those of other instances.", "source")
	m.orders = m.newCounterVec("orders_total", "Orders to engines, by result: given, failed.", "result")
	m.ttft = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "first_token_seconds", Help: "Time to first token.", Buckets: ttftBuckets,
	}, []string{"model"})
	m.stages = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "stage_seconds", Help: "Time of whole answers by stage: wait, connect, first, gap, total.",
		Buckets: stageBuckets,
	}, []string{"kind", "stage"})
	m.crashes = m.newCounter("crashes_total", "Reports of this instance on replicas that crashed while it waited for answers.")
	m.blocked = m.newGauge("blocked_parts", "Parts of prompts, and requests as a whole, that are kept from replicas because they have crashed some.")
	m.evacuated = m.newGauge("evacuated_zones", "Availability zones that the operators evacuate: their replicas get no new requests.")
	m.paced = m.newGauge("paced_replicas", "Replicas that get few requests, since they are cold, have just started or are back after failures.")
	m.heldBack = m.newCounter("held_back_total", "Requests that were kept from a replica for that reason; they may have gone to another one.")
	m.reserved = m.newCounter("reserved_total", "Requests that were kept from a replica whose KV cache has room for more urgent ones only.")
	m.ejections = m.newCounter("ejections_total", "Upstreams ejected.")
	m.exportsDropped = m.newCounter("exports_dropped_total", "Exports of context dropped because too many waited.")
	m.replays = m.newCounter("replays_total", "Unrepeatable requests answered from their record.")
	m.ticks = m.newCounter("ticks_total", "Ticks of the core.")
	m.version = m.newGauge("version", "Configuration in force: its offset in the log, or the operators' number of it on the users' platform.")
	m.era = m.newGauge("era", "Era of the platform's store since it last came back from a copy; 0 if it has not.")
	m.waiting = m.newGauge("waiting", "Requests that wait for an upstream.")
	m.open = m.newGauge("open", "Requests that have not ended.")
	m.registry.MustRegister(m.ttft, m.stages, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, r := range medlarreason.Refusals {
		m.refusals.WithLabelValues(string(r.Reason))
	}
	for _, r := range medlarreason.Retries {
		m.retries.WithLabelValues(string(r.Reason))
	}
	return m
}

func (m *Metrics) newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

func (m *Metrics) newCounter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *Metrics) newGauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(g)
	return g
}

// Registry returns the registry, for tests.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics.
func (m *Metrics) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
}

// Refused counts a refusal.
func (m *Metrics) Refused(r medlarreason.Reason) { m.refusals.WithLabelValues(string(r)).Inc() }

// Retried counts a retry.
func (m *Metrics) Retried(r medlarreason.Reason) { m.retries.WithLabelValues(string(r)).Inc() }

// Answered counts an answer.
func (m *Metrics) Answered(kind string) { m.answers.WithLabelValues(kind).Inc() }

// ResponseEnded counts a response of a replica by the framing of its body and by its end.
func (m *Metrics) ResponseEnded(framing string, end ResponseEnd) {
	m.responses.WithLabelValues(framing, string(end)).Inc()
}

// ResponseFollowed counts a response of a replica behind whose body further bytes came, by the framing of its body.
func (m *Metrics) ResponseFollowed(framing string) { m.followed.WithLabelValues(framing).Inc() }

// SetEvacuatedZones sets the number of availability zones that are evacuated.
func (m *Metrics) SetEvacuatedZones(n int) { m.evacuated.Set(float64(n)) }

// SetPaced sets the number of replicas that get few requests since they are cold or start slowly.
func (m *Metrics) SetPaced(n int) { m.paced.Set(float64(n)) }

// Reserved counts a request that was kept from a replica whose room is reserved for more urgent ones.
func (m *Metrics) Reserved() { m.reserved.Inc() }

// HeldBack counts a request that was kept from a replica that is cold or starts slowly.
func (m *Metrics) HeldBack() { m.heldBack.Inc() }

// Replayed counts an answer from the record of an earlier attempt.
func (m *Metrics) Replayed() { m.replays.Inc() }

// ObserveTTFT observes a time to first token.
func (m *Metrics) ObserveTTFT(model medlarid.ModelID, d time.Duration) {
	m.ttft.WithLabelValues(string(model)).Observe(d.Seconds())
}

// ObserveStage observes the duration of a stage of a request of the given kind.
func (m *Metrics) ObserveStage(kind string, s Stage, d time.Duration) {
	m.stages.WithLabelValues(kind, string(s)).Observe(d.Seconds())
}

// RegisterAge registers a gauge of the time since a part of the platform last answered.
// lastAnswer returns that time; while it is zero, for no answer yet, the gauge is -1.
func (m *Metrics) RegisterAge(part string, lastAnswer func() time.Time) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "age_seconds", Help: "Time since a part of the platform answered; -1 before it did.",
		ConstLabels: prometheus.Labels{"part": part},
	}, func() float64 {
		t := lastAnswer()
		if t.IsZero() {
			return -1
		}
		return time.Since(t).Seconds()
	}))
}

// RegisterLoad registers what instances tell one another of the load on upstreams: the age of the sums of all others' load, and
// the number of datagrams.
func (m *Metrics) RegisterLoad(age func() (time.Duration, bool), datagrams func() (sent, received uint64)) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "load_age_seconds", Help: "Age of the oldest report in the sums of other instances' load that are in force; -1 without sums.",
	}, func() float64 {
		if a, ok := age(); ok {
			return a.Seconds()
		}
		return -1
	}))
	counter := func(direction string, value func() uint64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "load_datagrams_total", Help: "Datagrams between instances, by direction: sent, received.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(value()) }))
	}
	counter("sent", func() uint64 {
		sent, _ := datagrams()
		return sent
	})
	counter("received", func() uint64 {
		_, received := datagrams()
		return received
	})
}

// RegisterMemory registers a gauge of the bytes that are reserved for each kind of use.
func (m *Metrics) RegisterMemory(a *medlarmemory.Account) {
	for _, k := range medlarmemory.Kinds() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "memory_bytes", Help: "Bytes reserved for what peers make the instance hold, by kind: heads, bodies, requests, answers, streams, connections.",
			ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 { return float64(a.Held(k)) }))
	}
}

// AddTokens adds the tokens of a run to the token counters.
func (m *Metrics) AddTokens(prompt, cached, completion medlarid.Tokens) {
	m.tokens.WithLabelValues("prompt").Add(float64(prompt))
	m.tokens.WithLabelValues("cached").Add(float64(cached))
	m.tokens.WithLabelValues("completion").Add(float64(completion))
}

// BytesMoved counts transferred bytes of KV blocks; direction is "import" or "export".
func (m *Metrics) BytesMoved(direction string, n medlarid.Bytes) {
	m.bytesMoved.WithLabelValues(direction).Add(float64(n))
}

// CallFailed counts a failed call to a part of the platform.
func (m *Metrics) CallFailed(part string) { m.callFailures.WithLabelValues(part).Inc() }

// Source is where records of others were read.
type Source string

// Sources.
const (
	SourceReplicas  Source = "replicas"
	SourceOperators Source = "operators"
	SourceStores    Source = "stores" // the contents of KV stores
)

// Malformed counts records of others that cannot be decoded.
func (m *Metrics) Malformed(s Source, n int) {
	m.malformed.WithLabelValues(string(s)).Add(float64(n))
}

// StoreRead records a report on the contents of a KV store, which another instance has read or this one.
func (m *Metrics) StoreRead(byPeer bool) {
	source := "store"
	if byPeer {
		source = "peer"
	}
	m.storeReads.WithLabelValues(source).Inc()
}

// ExportDropped counts a dropped export.
func (m *Metrics) ExportDropped() { m.exportsDropped.Inc() }

// ListsRead counts a read of the lists stream, by source.
func (m *Metrics) ListsRead(source string) { m.listReads.WithLabelValues(source).Inc() }

// Ordered counts an order to an engine; ok reports whether it was delivered.
func (m *Metrics) Ordered(ok bool) {
	result := "failed"
	if ok {
		result = "given"
	}
	m.orders.WithLabelValues(result).Inc()
}

// Hint is what a response of a replica states about further requests.
type Hint string

// Hints.
const (
	HintLeaving   Hint = "leaving"
	HintPause     Hint = "pause"
	HintLimit     Hint = "limit"
	HintBrittle   Hint = "brittle"
	HintMalformed Hint = "malformed"
)

// HintReceived counts a hint of a replica.
func (m *Metrics) HintReceived(h Hint) { m.hints.WithLabelValues(string(h)).Inc() }

// AttemptLost counts an attempt whose connection the upstream ended early; began reports whether
// the answer had begun.
func (m *Metrics) AttemptLost(began bool) { m.lost.WithLabelValues(strconv.FormatBool(began)).Inc() }

// AttemptRejected counts a rejection by what shows that it belongs to the attempt.
func (m *Metrics) AttemptRejected(proof string) { m.rejections.WithLabelValues(proof).Inc() }

// CrashSeen counts a report on a replica that crashed.
func (m *Metrics) CrashSeen() { m.crashes.Inc() }

// BlockChanged counts the parts of prompts that are blocked.
func (m *Metrics) BlockChanged(blocked bool) {
	if blocked {
		m.blocked.Inc()
		return
	}
	m.blocked.Dec()
}

// Connected counts an attempt to open a direct connection to a replica.
func (m *Metrics) Connected(result string) { m.connects.WithLabelValues(result).Inc() }

// Asked counts the answer of another instance that was asked for a connection to a replica.
func (m *Metrics) Asked(result string) { m.asked.WithLabelValues(result).Inc() }

// Proved counts a call to a replica that finds out whether the direct path to it works.
func (m *Metrics) Proved(result string) { m.proofs.WithLabelValues(result).Inc() }

// Relayed counts a request of another instance for a connection to a replica.
func (m *Metrics) Relayed(opened bool) { m.relayed.WithLabelValues(strconv.FormatBool(opened)).Inc() }

// SetCut sets whether this instance is cut off from the replicas.
func (m *Metrics) SetCut(cut bool) {
	m.cut.Set(0)
	if cut {
		m.cut.Set(1)
	}
}

// SetBrokenPaths sets the number of replicas that this instance does not reach while others do.
func (m *Metrics) SetBrokenPaths(n int) { m.brokenPaths.Set(float64(n)) }

// Ejected counts an ejection of an upstream.
func (m *Metrics) Ejected() { m.ejections.Inc() }

// Ticked counts a tick of the core and sets the numbers of waiting and open requests
// after it.
func (m *Metrics) Ticked(waiting, open int) {
	m.ticks.Inc()
	m.waiting.Set(float64(waiting))
	m.open.Set(float64(open))
}

// SetVersion sets the version of the configuration in force.
func (m *Metrics) SetVersion(v medlarid.Offset) { m.version.Set(float64(v)) }

// SetEra sets the era of the platform's store.
func (m *Metrics) SetEra(era medlarid.Era) { m.era.Set(float64(era)) }

// Totals are the counters that the status of an instance contains.
type Totals struct {
	Refused      map[medlarreason.Reason]int
	Retried      map[medlarreason.Reason]int
	PromptTokens int
	CachedTokens int
}

// Totals returns the current totals. Reasons with a count of zero are omitted.
func (m *Metrics) Totals() Totals {
	t := Totals{Refused: map[medlarreason.Reason]int{}, Retried: map[medlarreason.Reason]int{}}
	for _, r := range medlarreason.Refusals {
		if n := counterValue(m.refusals.WithLabelValues(string(r.Reason))); n > 0 {
			t.Refused[r.Reason] = n
		}
	}
	for _, r := range medlarreason.Retries {
		if n := counterValue(m.retries.WithLabelValues(string(r.Reason))); n > 0 {
			t.Retried[r.Reason] = n
		}
	}
	t.PromptTokens = counterValue(m.tokens.WithLabelValues("prompt"))
	t.CachedTokens = counterValue(m.tokens.WithLabelValues("cached"))
	return t
}

// counterValue returns the value of a counter.
func counterValue(c prometheus.Counter) int {
	var out dto.Metric
	if err := c.Write(&out); err != nil {
		return 0
	}
	return int(out.GetCounter().GetValue())
}
