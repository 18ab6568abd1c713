// Package medlarload sends concurrent prompts to entry instances and reports the
// responses.
package medlarload

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarreason"
	"medlarfield/internal/stand/medlarclient"
	"medlarfield/internal/upstream/medlarhttp"
)

// Settings describe the load.
type Settings struct {
	Addresses []medlarid.Address // entry instances, used in turn
	Key       string
	Model     string
	Prompt    string
	MaxTokens int           // maximum number of tokens in a response
	Streams   int           // number of concurrent prompts
	Duration  time.Duration // duration of the load; no prompt starts after it
}

// Report counts the responses by outcome.
type Report struct {
	Complete  int `json:"whole"`
	Truncated int `json:"cut"` // neither complete nor refused
	// Unreached counts prompts that were not sent because there was no connection.
	Unreached         int                         `json:"unreached"`
	Refused           map[medlarreason.Reason]int `json:"refused"`
	Parts             int                         `json:"parts"`
	TimesToFirstToken []time.Duration             `json:"-"` // times to first token of complete responses, in ascending order
	Elapsed           time.Duration               `json:"-"`
}

// Run sends prompts until the duration is over, and returns when all responses have
// ended.
func Run(s Settings) Report {
	r := Report{Refused: map[medlarreason.Reason]int{}}
	client := medlarclient.New(s.Key)
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range s.Streams {
		wg.Go(func() {
			for n := i; time.Since(begin) < s.Duration; n++ {
				res, err := client.Complete(s.Addresses[n%len(s.Addresses)], medlarclient.Prompt{Model: s.Model, Text: s.Prompt, MaxTokens: s.MaxTokens, Stream: true})
				mu.Lock()
				r.add(res, err)
				mu.Unlock()
				if !res.Complete {
					time.Sleep(max(res.RetryAfter, 10*time.Millisecond))
				}
			}
		})
	}
	wg.Wait()
	r.Elapsed = time.Since(begin)
	slices.Sort(r.TimesToFirstToken)
	return r
}

// add counts the outcome of a prompt.
func (r *Report) add(res medlarclient.Result, err error) {
	r.Parts += res.Parts
	switch {
	case err == nil && res.Complete:
		r.Complete++
		r.TimesToFirstToken = append(r.TimesToFirstToken, res.TimeToFirstToken)
	case err != nil && !medlarhttp.Sent(err):
		r.Unreached++
	case err == nil && res.Reason != "":
		r.Refused[res.Reason]++
	default:
		r.Truncated++
	}
}

// quantile returns the q-quantile of the time to first token of complete responses.
func (r *Report) quantile(q float64) time.Duration {
	if len(r.TimesToFirstToken) == 0 {
		return 0
	}
	return r.TimesToFirstToken[int(q*float64(len(r.TimesToFirstToken)-1))].Round(time.Millisecond)
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "whole answers\t%d\t%.1f/s\n", r.Complete, float64(r.Complete)/r.Elapsed.Seconds())
	_, _ = fmt.Fprintf(t, "parts\t%d\t%.0f/s\n", r.Parts, float64(r.Parts)/r.Elapsed.Seconds())
	_, _ = fmt.Fprintf(t, "first token\tp50 %v\tp95 %v\n", r.quantile(0.5), r.quantile(0.95))
	_, _ = fmt.Fprintf(t, "cut\t%d\n", r.Truncated)
	_, _ = fmt.Fprintf(t, "no connection\t%d\n", r.Unreached)
	for reason, n := range r.Refused {
		_, _ = fmt.Fprintf(t, "refused\t%d\t%s\n", n, reason)
	}
	_ = t.Flush()
}
