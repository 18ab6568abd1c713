// Package medlarsoak plays a soak: callers and an emulated platform with faults, around instances that run as processes
// of their own. It records what callers, replicas and the script that carries the schedule out saw.
package medlarsoak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
)

// Call is what a caller saw of a request. Times are in Unix ms.
type Call struct {
	At       int64  `json:"at"`
	Took     int64  `json:"took"` // ms
	ID       string `json:"id"`
	Began    string `json:"began"` // request with which the stream began that this one resumes; empty if it resumes none
	After    int    `json:"after"` // last event of the stream that the caller had
	Instance string `json:"instance"`
	Path     string `json:"path"`
	Status   int    `json:"status"` // 0 if there was no response
	Answers  string `json:"answers"`
	Body     string `json:"body"`
	Ended    bool   `json:"ended"` // the response ended as its framing requires
	Error    string `json:"error"`
}

// Deadly is what of a request crashes the replicas that run it.
type Deadly string

// What crashes replicas.
const (
	DeadlyNone    Deadly = ""        // nothing
	DeadlyRequest Deadly = "request" // the request, which comes again and again
	DeadlyPart    Deadly = "part"    // a part of its prompt, no two of which are alike
)

// Run is a request that arrived at a replica.
type Run struct {
	At      int64  `json:"at"` // Unix ms
	ID      string `json:"id"`
	Path    string `json:"path"`
	Resumed bool   `json:"resumed"` // the request resumes a stream
	Replica string `json:"replica"`
	Left    int64  `json:"left"`   // time for the answer that the replica was told, in ms; 0 for none
	Most    int    `json:"most"`   // largest number of attempts of the request's route; 0 if it is as at first
	Ran     bool   `json:"ran"`    // the replica began to run the request
	Denied  bool   `json:"denied"` // the replica says that it did not run what is recorded as its run of the request
	// Instance is the one over whose link the request came: of a relayed request the one between.
	Instance string `json:"instance"`
	Deadly   Deadly `json:"deadly"`
	Pause    int64  `json:"pause"` // in ms: for so long the replica, which rejects the request, wants none from the instance; 0 if it does not say so
	// State is the one into which the link of Instance was put, or the store if Instance is empty. Such a record is of no
	// request.
	State string `json:"state"`
}

// StateUp is the state of a link or a store without a fault.
const StateUp = "up"

// Happening is what was seen of a process in the course of a schedule.
type Happening string

// Happenings. The node follows each of the first five.
const (
	Started Happening = "start"
	Killed  Happening = "kill"
	Ended   Happening = "term" // got SIGTERM
	Stopped Happening = "stop"
	GoesOn  Happening = "cont"

	Died   Happening = "died"   // ended without a signal; the node follows
	Exit   Happening = "exit"   // ended after SIGTERM; the node and the exit code follow
	Back   Happening = "back"   // all instances were started after all had been killed
	Failed Happening = "failed" // a step could not be carried out; what it was follows
	Calm   Happening = "calm"   // all faults have ended
)

// Process is a line of the record of processes: the time in Unix ms, what happened, and arguments.
type Process struct {
	At   int64
	What Happening
	Args []string
}

// Records are all records of a schedule that was played.
type Records struct {
	Calls     []*Call
	Arrivals  []Run // of all requests, whether they ran or not
	Runs      []Run // of those that ran
	Pauses    []Run // of those that were rejected with a pause
	States    []Run // of links and the store
	Processes []Process
}

// Events is the number of events in each stream.
const Events = 8

// Event returns event n of the stream that answers a request.
func Event(n int, id string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// Prefixes of the paths of requests, one of each route of medlarsite.DefaultConfig.
const (
	PrefixRead   = "/read/"   // may run again
	PrefixPost   = "/post/"   // may run once
	PrefixLetter = "/letter/" // a stream that may be resumed
	PrefixQuery  = "/query/"  // a stream that may run once
)

// Streams reports whether the answer to a request is a stream.
func Streams(path string) bool {
	return strings.HasPrefix(path, PrefixLetter) || strings.HasPrefix(path, PrefixQuery)
}

// RunsOnce reports whether a request may run once only.
func RunsOnce(path string) bool {
	return strings.HasPrefix(path, PrefixPost) || strings.HasPrefix(path, PrefixQuery)
}

// Whole returns the whole content of the answer to a request.
func (c *Call) Whole() string {
	if !Streams(c.Path) {
		return "answer to " + c.ID
	}
	var b strings.Builder
	for n := c.After; n < Events; n++ {
		b.WriteString(Event(n+1, c.ID))
	}
	return b.String()
}

// Served reports whether the caller got a whole answer.
func (c *Call) Served() bool { return c.Status == 200 && c.Ended && c.Content() == c.Whole() }

// Content returns the body of a response, and of a stream its events without comments, which are of no request, and
// without the software versions that they name.
func (c *Call) Content() string {
	if !Streams(c.Path) {
		return c.Body
	}
	var out strings.Builder
	for b := range strings.SplitAfterSeq(c.Body, "\n\n") {
		comment := strings.HasPrefix(b, ":") && strings.Index(b, "\n\n") == strings.Index(b, "\n") && strings.HasSuffix(b, "\n\n")
		if !comment {
			event, _ := c.cutBuild(b)
			out.WriteString(event)
		}
	}
	return out.String()
}

// cutBuild cuts the software version out of an event of the call, or of its beginning.
func (c *Call) cutBuild(event string) (without, build string) {
	own := "data: " + c.ID + " "
	text := strings.TrimRight(event, "\n")
	i := strings.Index(text, own)
	if i < 0 || strings.ContainsAny(text[i+len(own):], " \n") {
		return event, ""
	}
	return text[:i+len(own)-1] + event[len(text):], text[i+len(own):]
}

// Builds returns the software versions that the whole events of a stream name, each once.
func (c *Call) Builds() (out []string) {
	for event := range strings.SplitAfterSeq(c.Body, "\n\n") {
		_, build := c.cutBuild(event)
		if build != "" && strings.HasSuffix(event, "\n\n") && !slices.Contains(out, build) {
			out = append(out, build)
		}
	}
	return out
}

// Last returns the last event of a stream that the caller has after the call, if all before it have arrived.
func (c *Call) Last() int {
	rest := c.Content()
	for n := c.After; ; n++ {
		after, ok := strings.CutPrefix(rest, Event(n+1, c.ID))
		if !ok {
			return n
		}
		rest = after
	}
}

// Refused reports whether the response states that the request did not and will not run.
func (c *Call) Refused() bool { return slices.Contains([]int{408, 421, 429, 503}, c.Status) }

// write writes a record as a line.
func write(w io.Writer, record any) error {
	b, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// Files of the records in the directory of a soak.
const (
	FileCalls     = "calls.log"
	FileRuns      = "runs.log"
	FileProcesses = "processes.log"
	FileCalm      = "calm"  // is written when all faults have ended
	FilePress     = "press" // exists while callers press
)

// Read reads the records in a directory.
func Read(dir string) (r Records, err error) {
	err = errors.Join(
		eachLine(filepath.Join(dir, FileCalls), func(line []byte) error {
			r.Calls = append(r.Calls, &Call{})
			return json.Unmarshal(line, r.Calls[len(r.Calls)-1])
		}),
		eachLine(filepath.Join(dir, FileRuns), func(line []byte) error {
			var run Run
			err := json.Unmarshal(line, &run)
			r.addRun(run)
			return err
		}),
		eachLine(filepath.Join(dir, FileProcesses), r.addProcess),
	)
	return r, err
}

// addRun adds an arrival or a run, or takes the run back that a replica denies.
func (r *Records) addRun(run Run) {
	switch {
	case run.Denied:
		ofReplica := func(other Run) bool { return other.ID == run.ID && other.Replica == run.Replica }
		if i := slices.IndexFunc(r.Runs, ofReplica); i >= 0 {
			r.Runs = slices.Delete(r.Runs, i, i+1)
		}
	case run.State != "":
		r.States = append(r.States, run)
	case run.Pause > 0:
		r.Pauses = append(r.Pauses, run)
	case run.Ran:
		r.Runs = append(r.Runs, run)
	default:
		r.Arrivals = append(r.Arrivals, run)
	}
}

func (r *Records) addProcess(line []byte) error {
	f := strings.Fields(string(line))
	if len(f) < 2 {
		return fmt.Errorf("record of processes: line %q has no time or no event", line)
	}
	at, err := strconv.ParseInt(f[0], 10, 64)
	r.Processes = append(r.Processes, Process{at, Happening(f[1]), f[2:]})
	return err
}

func eachLine(file string, use func([]byte) error) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for line := range bytes.Lines(b) {
		if err := use(line); err != nil {
			return err
		}
	}
	return nil
}
