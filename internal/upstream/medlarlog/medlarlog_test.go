package medlarlog_test

import (
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/stand/medlarfakelog"
	"medlarfield/internal/stand/medlarfault"
	"medlarfield/internal/stand/medlarhost"
	"medlarfield/internal/upstream/medlarhttp"
	"medlarfield/internal/upstream/medlarlog"
)

const (
	stream  = "s"
	timeout = 150 * time.Millisecond
)

func newClient(t *testing.T, faults ...medlarfault.Fault) (*medlarlog.Client, *medlarfakelog.Log) {
	t.Helper()
	injector := medlarfault.New()
	log := medlarfakelog.New(medlarfakelog.Settings{})
	server, err := medlarhost.New("log", "127.0.0.1:0", injector, log.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	for _, f := range faults {
		f.Part = "log"
		if err := injector.Arm(f); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = injector.Arm(medlarfault.Fault{Part: "log", Name: medlarfault.Freeze, Clear: true}) })
	return medlarlog.New(medlarhttp.New(time.Second), server.Address, timeout), log
}

func once(n medlarfault.Name) medlarfault.Fault { return medlarfault.Fault{Name: n, Count: 1} }

func TestAppend(t *testing.T) {
	delayed := medlarfault.Fault{Name: medlarfault.Late, Count: 1, DelayText: "30ms"}
	slow := medlarfault.Fault{Name: medlarfault.Slow, Count: 1, DelayText: "20ms"}
	for _, tc := range []struct {
		name    string
		faults  []medlarfault.Fault
		want    medlarlog.Kind // empty for success
		records int            // records in the stream afterwards
	}{
		{"no fault", nil, "", 1},
		{"unavailable", []medlarfault.Fault{once(medlarfault.Down)}, medlarlog.KindUnavailable, 0},
		{"rejected", []medlarfault.Fault{once(medlarfault.Refuse)}, medlarlog.KindRefused, 0},
		{"response lost after the effect", []medlarfault.Fault{once(medlarfault.Lost)}, medlarlog.KindUnknown, 1},
		{"delayed effect", []medlarfault.Fault{delayed}, medlarlog.KindUnknown, 1},
		{"truncated response", []medlarfault.Fault{once(medlarfault.Cut)}, medlarlog.KindUnknown, 1},
		{"invalid JSON", []medlarfault.Fault{once(medlarfault.Malformed)}, medlarlog.KindUnknown, 0},
		{"duplicate request", []medlarfault.Fault{once(medlarfault.Double)}, "", 2},
		{"slow", []medlarfault.Fault{slow}, "", 1},
		{"no response", []medlarfault.Fault{{Name: medlarfault.Freeze}}, medlarlog.KindUnknown, 0},
		{"slow and response lost", []medlarfault.Fault{slow, once(medlarfault.Lost)}, medlarlog.KindUnknown, 1},
		{"duplicate request and response lost", []medlarfault.Fault{once(medlarfault.Double), once(medlarfault.Lost)}, medlarlog.KindUnknown, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, log := newClient(t, tc.faults...)
			_, err := c.Append(stream, []byte("x"))
			assertKind(t, err, tc.want)
			assertRecordCount(t, log, tc.records)
		})
	}
}

func assertKind(t *testing.T, err error, want medlarlog.Kind) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Fatalf("failed: %v", err)
	case want != "" && (err == nil || medlarlog.KindOf(err) != want):
		t.Fatalf("got %v, want kind %s", err, want)
	}
}

func assertRecordCount(t *testing.T, log *medlarfakelog.Log, want int) {
	t.Helper()
	time.Sleep(50 * time.Millisecond) // time for a delayed effect
	if n := len(log.Read(stream, 1, 10, 0).Records); n != want {
		t.Errorf("%d records, want %d", n, want)
	}
}

func TestAppendUnreachable(t *testing.T) {
	c := medlarlog.New(medlarhttp.New(time.Second), "127.0.0.1:1", timeout)
	_, err := c.Append(stream, []byte("x"))
	assertKind(t, err, medlarlog.KindUnavailable)
}

func TestRead(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault medlarfault.Name
		want  medlarlog.Kind
	}{
		{"unavailable", medlarfault.Down, medlarlog.KindUnavailable},
		{"rejected", medlarfault.Refuse, medlarlog.KindRefused},
		{"lost response", medlarfault.Lost, medlarlog.KindUnavailable},
		{"truncated response", medlarfault.Cut, medlarlog.KindUnavailable},
		{"invalid JSON", medlarfault.Malformed, medlarlog.KindMalformed},
		{"no response", medlarfault.Freeze, medlarlog.KindUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, log := newClient(t, medlarfault.Fault{Name: tc.fault})
			log.Append(stream, []byte("x"))
			_, err := c.Read(stream, 1, 10, 0)
			assertKind(t, err, tc.want)
		})
	}
}

func TestReadReportsExpiredRecords(t *testing.T) {
	c, log := newClient(t)
	for range 5 {
		log.Append(stream, []byte("x"))
	}
	log.Expire(stream, 4)
	b, err := c.Read(stream, 1, 10, 0)
	assertKind(t, err, "")
	if b.First != 4 || b.Next != 6 || len(b.Records) != 2 || b.Records[0].Offset != 4 {
		t.Errorf("got %+v", b)
	}
}

func TestReadWaitsForRecord(t *testing.T) {
	c, log := newClient(t)
	time.AfterFunc(30*time.Millisecond, func() { log.Append(stream, []byte("x")) })
	b, err := c.Read(stream, 1, 10, time.Second)
	assertKind(t, err, "")
	if len(b.Records) != 1 || b.Records[0].Offset != medlarid.Offset(1) {
		t.Errorf("got %+v", b)
	}
}
