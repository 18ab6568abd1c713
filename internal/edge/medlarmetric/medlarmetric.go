// Package medlarmetric holds the metrics of an instance.
package medlarmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
)

const namespace = "medlar"

// firstBuckets are the bounds of the histogram of time to first token in seconds.
var firstBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .5, .69, 1, 1.5, 2.5, 5, 10, 30}

// stageBuckets are the bounds of the histogram of stages in seconds; waiting takes less
// than a millisecond while there is room.
var stageBuckets = []float64{.0002, .0005, .001, .003, .01, .03, .1, .2, .4, .69, 1, 2, 4, 10, 30}

// Stage is a part of a request's time; where nothing else is said, from its arrival on.
type Stage string

// Stages.
const (
	StageWait       Stage = "wait"    // until the first attempt
	StageConnect    Stage = "connect" // until the last attempt had a connection, from its start on
	StageFirstByte  Stage = "first"   // until the first byte of the answer
	StageLongestGap Stage = "gap"     // longest pause within the answer
	StageTotal      Stage = "total"
)

// Metrics are the counters and gauges of an instance.
type Metrics struct {
	registry *prometheus.Registry
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	answers  *prometheus.CounterVec
	first    *prometheus.HistogramVec
	stages   *prometheus.HistogramVec
	tokens   *prometheus.CounterVec
	moved    *prometheus.CounterVec
	ejected  prometheus.Counter
	dropped  prometheus.Counter
	replays  prometheus.Counter
	failures *prometheus.CounterVec
	lists    *prometheus.CounterVec
	orders   *prometheus.CounterVec
	version  prometheus.Gauge
	waiting  prometheus.Gauge
	open     prometheus.Gauge
	ticks    prometheus.Counter
}

// New returns metrics with every reason at zero.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.refusals = m.counters("refusals_total", "Requests refused, by reason.", "reason")
	m.retries = m.counters("retries_total", "Attempts repeated, by reason.", "reason")
	m.answers = m.counters("answers_total", "Requests answered, by kind.", "kind")
	m.tokens = m.counters("tokens_total", "Tokens, by kind: prompt, cached, completion.", "kind")
	m.moved = m.counters("moved_bytes_total", "Bytes of kept context moved, by direction.", "direction")
	m.failures = m.counters("platform_failures_total", "Failed calls to the platform, by part.", "part")
	m.lists = m.counters("lists_reads_total", "Reads of the lists stream, by source: log, relay.", "source")
	m.orders = m.counters("orders_total", "Orders to engines, by result: given, failed.", "result")
	m.first = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "first_token_seconds", Help: "Time to first token.", Buckets: firstBuckets,
	}, []string{"model"})
	m.stages = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "stage_seconds", Help: "Time of whole answers by stage: wait, connect, first, gap, total.",
		Buckets: stageBuckets,
	}, []string{"kind", "stage"})
	m.ejected = m.counter("ejections_total", "Upstreams ejected.")
	m.dropped = m.counter("exports_dropped_total", "Exports of context dropped because too many waited.")
	m.replays = m.counter("replays_total", "Unrepeatable requests answered from their record.")
	m.ticks = m.counter("ticks_total", "Ticks of the core.")
	m.version = m.gauge("version", "Configuration in force: its offset in the log, or the operators' number of it on the users' platform.")
	m.waiting = m.gauge("waiting", "Requests that wait for an upstream.")
	m.open = m.gauge("open", "Requests that have not ended.")
	m.registry.MustRegister(m.first, m.stages, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, r := range medlarreason.Refusals {
		m.refusals.WithLabelValues(string(r.Reason))
	}
	for _, r := range medlarreason.Retries {
		m.retries.WithLabelValues(string(r.Reason))
	}
	return m
}

func (m *Metrics) counters(name, help, label string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
	m.registry.MustRegister(c)
	return c
}

func (m *Metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *Metrics) gauge(name, help string) prometheus.Gauge {
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

// Replayed counts an answer from the record of an earlier attempt.
func (m *Metrics) Replayed() { m.replays.Inc() }

// ObserveTTFT notes a time to first token.
func (m *Metrics) ObserveTTFT(model medlarid.ModelID, d time.Duration) {
	m.first.WithLabelValues(string(model)).Observe(d.Seconds())
}

// ObserveStage notes the time until the end of a stage of a request of a kind.
func (m *Metrics) ObserveStage(kind string, s Stage, d time.Duration) {
	m.stages.WithLabelValues(kind, string(s)).Observe(d.Seconds())
}

// RegisterAge registers a gauge of the time since a part of the platform last answered; at
// returns that time, zero for none, for which the gauge is -1.
func (m *Metrics) RegisterAge(part string, at func() time.Time) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "age_seconds", Help: "Time since a part of the platform answered; -1 before it did.",
		ConstLabels: prometheus.Labels{"part": part},
	}, func() float64 {
		t := at()
		if t.IsZero() {
			return -1
		}
		return time.Since(t).Seconds()
	}))
}

// AddTokens counts the tokens of a run.
func (m *Metrics) AddTokens(prompt, cached, completion medlarid.Tokens) {
	m.tokens.WithLabelValues("prompt").Add(float64(prompt))
	m.tokens.WithLabelValues("cached").Add(float64(cached))
	m.tokens.WithLabelValues("completion").Add(float64(completion))
}

// BytesMoved counts bytes of kept context; direction is "import" or "export".
func (m *Metrics) BytesMoved(direction string, n medlarid.Bytes) {
	m.moved.WithLabelValues(direction).Add(float64(n))
}

// CallFailed counts a failed call to a part of the platform.
func (m *Metrics) CallFailed(part string) { m.failures.WithLabelValues(part).Inc() }

// ExportDropped counts an export that was dropped.
func (m *Metrics) ExportDropped() { m.dropped.Inc() }

// ListsRead counts a read of the lists stream by its source.
func (m *Metrics) ListsRead(source string) { m.lists.WithLabelValues(source).Inc() }

// Ordered counts an order to an engine.
func (m *Metrics) Ordered(given bool) {
	result := "failed"
	if given {
		result = "given"
	}
	m.orders.WithLabelValues(result).Inc()
}

// Ejected counts an ejection.
func (m *Metrics) Ejected() { m.ejected.Inc() }

// Ticked notes a tick and the sizes of the tables after it.
func (m *Metrics) Ticked(waiting, open int) {
	m.ticks.Inc()
	m.waiting.Set(float64(waiting))
	m.open.Set(float64(open))
}

// SetVersion notes the configuration in force.
func (m *Metrics) SetVersion(v medlarid.Offset) { m.version.Set(float64(v)) }

// Totals are the counters that an instance tells in its status.
type Totals struct {
	Refused      map[medlarreason.Reason]int
	Retried      map[medlarreason.Reason]int
	PromptTokens int
	CachedTokens int
}

// Totals returns the counters that are not zero.
func (m *Metrics) Totals() Totals {
	t := Totals{Refused: map[medlarreason.Reason]int{}, Retried: map[medlarreason.Reason]int{}}
	for _, r := range medlarreason.Refusals {
		if n := value(m.refusals.WithLabelValues(string(r.Reason))); n > 0 {
			t.Refused[r.Reason] = n
		}
	}
	for _, r := range medlarreason.Retries {
		if n := value(m.retries.WithLabelValues(string(r.Reason))); n > 0 {
			t.Retried[r.Reason] = n
		}
	}
	t.PromptTokens = value(m.tokens.WithLabelValues("prompt"))
	t.CachedTokens = value(m.tokens.WithLabelValues("cached"))
	return t
}

// value reads a counter.
func value(c prometheus.Counter) int {
	var out dto.Metric
	if err := c.Write(&out); err != nil {
		return 0
	}
	return int(out.GetCounter().GetValue())
}
