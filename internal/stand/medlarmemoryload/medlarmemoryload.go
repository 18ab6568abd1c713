// Package medlarmemoryload puts clients that exhaust memory on one attached instance, which runs as a process of its
// own, and checks that the process stays within its memory; see .ci/memory.
//
// Rules:
//
//	R1  The clients of a row begin at once, stay connected for holdTime after that, and leave together.
//	R2  A row fails if the process has ended, if its peak resident memory is above the memory of its settings, if it
//	    had more open descriptors than descriptorBound, if an ordinary request is not answered with 200 within
//	    recoveryTime after the clients have left, or if the gauges of its memory account are not back at zero by then.
//	R3  How long requests take and how many are served during the load is no part of the verdict.
package medlarmemoryload

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarsite"
)

// Times and intervals of a row.
const (
	holdTime       = 4 * time.Second
	recoveryTime   = 15 * time.Second // more than the 10 s after which bodies and answers that stall are given up
	sampleInterval = 50 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	probeTimeout   = 3 * time.Second
)

// descriptorBound is the number of descriptors that an instance may have open: its client's connection and one to a
// replica for each client, and those that an idle instance has.
func descriptorBound(clients int) int { return 2*clients + 100 }

// Settings describe the process under load.
type Settings struct {
	Row     Row
	PID     int
	Address medlarid.Address // for clients
	Status  medlarid.Address
	// MemoryMB is the memory of the instance's settings.
	MemoryMB int
}

// Result is what was seen of a row.
type Result struct {
	Row         string
	Clients     int
	PeakMB      float64
	Descriptors int            // the largest number that was open
	Outcomes    map[string]int // what the clients got: a status, or closed, or open for none
	Probes      int            // ordinary requests during the load
	Served      int            // ordinary requests that were answered with 200
	Faults      []string       // rules that do not hold (R2)
}

// String returns the result as a line of a table.
func (r *Result) String() string {
	var outcomes []string
	for name, n := range r.Outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(outcomes)
	verdict := "ok"
	if len(r.Faults) > 0 {
		verdict = "FAILED: " + strings.Join(r.Faults, "; ")
	}
	return fmt.Sprintf("| %s | %d | %.0f MB | %d descriptors | %s | %d of %d during the load | %s |",
		r.Row, r.Clients, r.PeakMB, r.Descriptors, strings.Join(outcomes, ", "), r.Served, r.Probes, verdict)
}

// Run puts the clients of a row on an instance.
func Run(s Settings) *Result {
	r := &Result{Row: s.Row.Name, Clients: s.Row.Clients}
	stop, sampled, probed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for every(stop, sampleInterval) {
			r.Descriptors = max(r.Descriptors, openDescriptors(s.PID))
		}
	}()
	go func() {
		defer close(probed)
		for every(stop, probeInterval) {
			r.Probes++
			if probe(s.Address) == nil {
				r.Served++
			}
		}
	}()
	r.Outcomes = runClients(s)
	close(stop)
	<-sampled
	<-probed
	r.check(s)
	return r
}

// every waits for an interval; it returns false once stop is closed.
func every(stop <-chan struct{}, interval time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(interval):
		return true
	}
}

// runClients runs the clients of a row and returns what they got.
func runClients(s Settings) map[string]int {
	outcomes := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(holdTime)
	for i := range s.Row.Clients {
		wg.Go(func() {
			outcome := runClient(s.Address, s.Row, i, end)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	wg.Wait()
	return outcomes
}

// check records which rules do not hold (R2).
func (r *Result) check(s Settings) {
	fail := func(format string, args ...any) { r.Faults = append(r.Faults, fmt.Sprintf(format, args...)) }
	end := time.Now().Add(recoveryTime)
	var probeErr, accountErr error
	for {
		if probeErr = probe(s.Address); probeErr == nil {
			if accountErr = accountIsEmpty(s.Status); accountErr == nil {
				break
			}
		}
		if time.Now().After(end) {
			break
		}
		time.Sleep(probeInterval)
	}
	switch {
	case probeErr != nil:
		fail("no ordinary request is answered after the load: %v", probeErr)
	case accountErr != nil:
		fail("%v", accountErr)
	}
	peak, err := peakMemory(s.PID)
	if err != nil {
		fail("the process has ended")
		return
	}
	r.PeakMB = float64(peak) / (1 << 20)
	if peak > int64(s.MemoryMB)<<20 {
		fail("peak resident memory above %d MB", s.MemoryMB)
	}
	if bound := descriptorBound(r.Clients); r.Descriptors > bound {
		fail("more than %d descriptors", bound)
	}
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(b), "VmHWM:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0, eris.New("process without memory")
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10, err
}

// openDescriptors returns the number of open descriptors of a process; 0 if it has ended.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// serial makes the ids of requests differ.
var serial atomic.Uint64

// probe sends an ordinary request on a connection of its own.
func probe(at medlarid.Address) error {
	c, err := dial(at)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := io.WriteString(c, requestHead("POST", "/read/ordinary")+"Content-Length: 5\r\nConnection: close\r\n\r\nhello"); err != nil {
		return err
	}
	b, err := io.ReadAll(c)
	if !bytes.HasPrefix(b, []byte("HTTP/1.1 200 ")) {
		return eris.Errorf("%.40q, %v", b, err)
	}
	return err
}

// accountMetric begins the gauges of the memory account.
const accountMetric = "medlar_memory_bytes{"

// accountIsEmpty returns an error unless the gauges of the memory account exist and are all at zero.
func accountIsEmpty(status medlarid.Address) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+string(status)+"/metrics", probeTimeout)
	if err != nil || code != fasthttp.StatusOK {
		return eris.Errorf("no metrics: %d, %v", code, err)
	}
	found := false
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, accountMetric) {
			continue
		}
		found = true
		if !strings.HasSuffix(strings.TrimSpace(line), " 0") {
			return eris.Errorf("account is not empty: %s", strings.TrimSpace(line))
		}
	}
	if !found {
		return eris.New("no memory account")
	}
	return nil
}

// requestHead returns the beginning of a request head, without the end of it.
func requestHead(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nMedlarfield-Request-Id: m%d\r\nMedlarfield-Timeout-Ms: %d\r\n",
		method, path, medlarsite.Host, medlarsite.Key, serial.Add(1), probeTimeout.Milliseconds())
}
