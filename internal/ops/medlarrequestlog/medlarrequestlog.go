// Package medlarrequestlog writes the log lines of requests and their attempts, and counts both in the metrics.
package medlarrequestlog

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"medlarfield/internal/core/medlarchoice"
	"medlarfield/internal/core/medlarkind"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/core/medlarsuspect"
	"medlarfield/internal/edge/medlarcall"
	"medlarfield/internal/edge/medlarmetric"
	"medlarfield/internal/edge/medlarproxy"
)

// New returns the functions that log attempts and requests and count them in the metrics.
func New(log zerolog.Logger, m *medlarmetric.Metrics) medlarproxy.Observer {
	return medlarproxy.Observer{
		AttemptEnded: func(a *medlarcall.Attempt) {
			countResponse(m, a.Body)
			if a.Rejected {
				m.AttemptRejected(string(a.Proof))
			}
			if a.Unnamed {
				m.AttemptRejected(string(medlarcall.ProofNone))
			}
			if a.Cause == medlarkind.CauseDone { // logged with the request
				return
			}
			l := log.Info().Str("event", "attempt").Str("id", string(a.ID)).Int("attempt", a.Number).
				Str("replica", string(a.Upstream)).Str("build", string(a.Build)).Str("version", string(a.Version)).Str("cause", string(a.Cause)).
				Str("reason", string(a.Reason)).Bool("reached", a.Reached).Bool("reused", a.Reused).
				Int("status", a.Status).Float64("took", ms(a.Duration)).Dict("why", choiceFields(a.Decision)).AnErr("error", a.Err)
			if a.Via != "" {
				l = l.Str("via", string(a.Via))
			}
			if a.Proof != "" {
				l = l.Str("proof", string(a.Proof)).Bool("rejected", a.Rejected).Bool("unnamed", a.Unnamed)
			}
			if a.Lost {
				m.AttemptLost(a.Began > 0)
				l = l.Bool("lost", true).Float64("began", ms(a.Began)).Strs("prompt", loggedParts(a.Parts)).
					Strs("print", wholeTraits(a.Traits)).Int("size", a.BodyBytes)
			}
			addBodyEnd(l, a.Body).Send()
		},
		RequestEnded: func(s *medlarcall.Summary) {
			countRequest(m, s)
			l := log.Info().Str("event", "request").Str("id", string(s.ID)).Str("account", string(s.Account)).
				Str("route", s.Route).Str("service", string(s.Service)).Uint64("config", s.ConfigVersion).
				Int("status", s.Status).Bool("whole", s.Complete).Int("attempts", s.Attempts).Str("replica", string(s.Upstream)).
				Float64("waited", ms(s.QueueTime)).Float64("connect", ms(s.ConnectTime)).Bool("reused", s.Reused).Float64("first", ms(s.FirstByte)).
				Float64("gap", ms(s.MaxWriteGap)).Float64("took", ms(s.Duration))
			if s.Via != "" {
				l = l.Str("via", string(s.Via))
			}
			if s.Build != "" {
				l = l.Str("build", string(s.Build))
			}
			if s.LastEventID != "" {
				l = l.Str("last", s.LastEventID).Str("resumes", string(s.Resumes))
			}
			if len(s.Parts) > 0 {
				l = l.Str("parts", partText(s.Parts))
			}
			if s.Attempts > 0 {
				l = l.Dict("why", choiceFields(s.Decision))
			}
			if s.Reason != "" {
				l = l.Str("reason", string(s.Reason)).Str("ran", string(s.Ran)).Float64("after", ms(s.RetryAfter)).
					Int("waiting", s.Waiting).Int("kin", s.Upstreams).Float64("budget", s.RetryTokens)
			}
			if s.BlockedTrait != "" {
				l = l.Str("part", string(s.BlockedTrait))
			}
			addBodyEnd(l, s.Body).Send()
		},
	}
}

// maxLoggedParts is the number of parts of a prompt that a log line names.
const maxLoggedParts = 12

// loggedParts returns the first parts of a prompt but its last one, which no other prompt shares.
func loggedParts(parts []medlarcall.Part) []string {
	out := []string{}
	for _, p := range parts[:min(max(len(parts)-1, 0), maxLoggedParts)] {
		out = append(out, p.ID)
	}
	return out
}

// wholeTraits returns the traits of a request as a whole.
func wholeTraits(traits []medlarsuspect.Trait) []string {
	out := []string{}
	for _, t := range traits {
		if t.Whole() {
			out = append(out, string(t))
		}
	}
	return out
}

// addBodyEnd adds the log fields of the end of an upstream's response.
func addBodyEnd(l *zerolog.Event, end medlarcall.BodyEnd) *zerolog.Event {
	if !end.Received {
		return l
	}
	l = l.Stringer("framing", end.Framing)
	if end.PartialBytes > 0 {
		l = l.Int("partial", end.PartialBytes)
	}
	if end.Followed {
		l = l.Bool("followed", true)
	}
	return l
}

// countResponse counts an upstream's response by its framing and its end.
func countResponse(m *medlarmetric.Metrics, end medlarcall.BodyEnd) {
	if !end.Received {
		return
	}
	kind := medlarmetric.EndBroken
	switch {
	case end.Complete && end.PartialBytes > 0:
		kind = medlarmetric.EndPartial
	case end.Complete:
		kind = medlarmetric.EndComplete
	}
	m.ResponseEnded(end.Framing.String(), kind)
	if end.Followed {
		m.ResponseFollowed(end.Framing.String())
	}
}

// choiceFields returns the log fields of the figures that an upstream was chosen by.
func choiceFields(y medlarchoice.Decision) *zerolog.Event {
	return zerolog.Dict().Int("choices", y.Candidates).Float64("pending", math.Round(y.Pending)).
		Float64("window", math.Round(y.Window)).Float64("all", math.Round(y.TotalPending)).
		Float64("bound", math.Round(y.TotalWindow)).Float64("lag", math.Round(1000*y.Lag)).Int("others", y.Others).
		Float64("expected", math.Round(1000*y.Wait))
}

// partText returns the states of a prompt's parts, one letter each.
func partText(parts []medlarchoice.PartState) string {
	b := make([]byte, len(parts))
	for i, p := range parts {
		b[i] = byte(p)
	}
	return string(b)
}

// countRequest counts a request that has ended.
func countRequest(m *medlarmetric.Metrics, s *medlarcall.Summary) {
	switch {
	case s.Reason != "" && s.Reason != medlarreason.Gone:
		m.Refused(s.Reason)
	case s.Complete:
		m.Answered(s.Route)
		m.ObserveTTFT(s.Model, s.FirstByte)
		m.ObserveStage(string(s.Kind), medlarmetric.StageWait, s.QueueTime)
		m.ObserveStage(string(s.Kind), medlarmetric.StageConnect, s.ConnectTime)
		m.ObserveStage(string(s.Kind), medlarmetric.StageFirstByte, s.FirstByte)
		m.ObserveStage(string(s.Kind), medlarmetric.StageLongestGap, s.MaxWriteGap)
		m.ObserveStage(string(s.Kind), medlarmetric.StageTotal, s.Duration)
	}
}

// ms returns a duration in milliseconds, as log fields have it.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
