package medlarattachednode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarframing"
	"medlarfield/internal/base/medlarhead"
	"medlarfield/internal/ops/medlarattachednode"
	"medlarfield/internal/stand/medlarsite"
)

// BenchmarkPass measures requests through an instance on keep-alive connections: plain
// requests, and streams of 40 events.
func BenchmarkPass(b *testing.B) {
	for _, tc := range []struct {
		name string
		q    request
	}{
		{"plain", request{method: "POST", path: "/post/a", body: "pay"}},
		{"stream", request{method: "POST", path: "/letter/x", body: "{}", fields: prompt("aa:100,bb:400,cc:500")}},
	} {
		b.Run(tc.name, func(b *testing.B) { benchPass(b, tc.q) })
	}
}

func benchPass(b *testing.B, q request) {
	cfg := medlarsite.Default()
	cfg.Events, cfg.ServiceTime = 40, 0
	site, err := medlarsite.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer site.Close()
	settings, _, err := site.InstanceSettings("entry-1")
	if err != nil {
		b.Fatal(err)
	}
	instance, err := medlarattachednode.New(settings, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	stop, err := instance.Start()
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	for !instance.Ready() {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", string(instance.Address()))
	if err != nil {
		b.Fatal(err)
	}
	br := bufio.NewReader(c)
	for n := 0; b.Loop(); n++ {
		q.id = fmt.Sprint("r", n)
		if _, err := io.WriteString(c, q.text()); err != nil {
			b.Fatal(err)
		}
		h, err := medlarhead.ReadResponse(br, 1<<14, q.method)
		if err != nil || h.Status != 200 {
			b.Fatal(h, err)
		}
		if _, err := io.Copy(io.Discard, medlarframing.NewBody(br, h)); err != nil {
			b.Fatal(err)
		}
	}
}
