// Package medlarchangelog logs, and counts in the metrics, changes that an attached instance learns of: those of replicas, of
// its paths to them and of its topics.
package medlarchangelog

import (
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/core/medlarreach"
	"medlarfield/internal/core/medlarupstream"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/edge/medlarmetric"
)

// Avoided logs and counts that a replica gets no new work, since it leaves or has asked for a pause.
func Avoided(log zerolog.Logger, m *medlarmetric.Metrics, a medlarworld.Avoided) {
	hint, text := medlarmetric.HintPause, "replica asked for a pause"
	if a.Leaving {
		hint, text = medlarmetric.HintLeaving, "replica said that it leaves"
	}
	m.HintReceived(hint)
	log.Info().Str("event", "avoid").Str("replica", string(a.Upstream)).Bool("leaving", a.Leaving).Float64("after", ms(a.For)).Msg(text)
}

// Limit logs and counts that a replica names another limit of requests than before, or no longer names one.
func Limit(log zerolog.Logger, m *medlarmetric.Metrics, c medlarworld.LimitChanged) {
	text := "replica no longer names a limit of requests"
	if c.Limited {
		m.HintReceived(medlarmetric.HintLimit)
		text = "replica named a limit of requests"
	}
	log.Info().Str("event", "limit").Str("replica", string(c.Upstream)).Bool("limited", c.Limited).Float64("limit", c.Limit).Msg(text)
}

// Brittle logs and counts that a replica states that it is brittle, or no longer does.
func Brittle(log zerolog.Logger, m *medlarmetric.Metrics, c medlarworld.BrittleChanged) {
	text := "replica no longer says that it is brittle"
	if c.Most > 0 {
		m.HintReceived(medlarmetric.HintBrittle)
		text = "replica says that it is brittle"
	}
	log.Info().Str("event", "brittle").Str("replica", string(c.Upstream)).Int("most", c.Most).Msg(text)
}

// Pace logs that the limit on a replica's requests has changed, as it is cold, has just started, or neither any longer.
func Pace(log zerolog.Logger, c medlarworld.PaceChanged) {
	text := map[medlarupstream.PacePhase]string{
		medlarupstream.PaceNone: "replica gets requests without a limit",
		medlarupstream.PaceCold: "replica may be cold; all instances together limit its requests",
		medlarupstream.PaceSlow: "replica has started or is back; increasing its requests",
	}[c.Phase]
	log.Info().Str("event", "pace").Str("replica", string(c.Upstream)).Str("phase", string(c.Phase)).Float64("for", ms(c.For)).Float64("rate", c.Rate).Msg(text)
}

// Reach logs and counts that this instance does not reach a replica directly which another instance reaches, or reaches it
// again. A change without a replica is about all of them.
func Reach(log zerolog.Logger, m *medlarmetric.Metrics, c medlarreach.Change) {
	m.SetBrokenPaths(c.Paths)
	if c.Replica != "" {
		text := "replica is reached directly again"
		if c.Broken {
			text = "replica is not reached directly, while another instance reaches it; relaying its connections"
		}
		log.Info().Str("event", "reach").Str("replica", string(c.Replica)).Bool("broken", c.Broken).Bool("hangs", c.Hangs).Bool("opens", c.Opens).
			Int("paths", c.Paths).Float64("for", ms(c.For)).Msg(text)
		return
	}
	m.SetCut(c.Broken)
	text := "replicas are reached directly again"
	if c.Broken {
		text = "no replica is reached directly, while other instances reach them; relaying all connections"
	}
	log.Warn().Str("event", "cut").Bool("cut", c.Broken).Bool("hangs", c.Hangs).Bool("opens", c.Opens).Int("paths", c.Paths).Float64("for", ms(c.For)).Msg(text)
}

// FeedOutageFuncs returns the functions that log when a topic becomes unavailable and when it
// is available again; failed counts the failures by topic.
func FeedOutageFuncs(log zerolog.Logger, topic string, failed func(string)) (onUnavailable func(error), onRecovered func(time.Duration)) {
	onUnavailable = func(err error) {
		failed(topic)
		log.Warn().Str("event", "lost").Str("dependency", topic).Err(err).Msg("topic is unavailable")
	}
	onRecovered = func(after time.Duration) {
		log.Info().Str("event", "regained").Str("dependency", topic).Dur("after", after).Msg("topic is available again")
	}
	return onUnavailable, onRecovered
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
