package medlarstorerelay

import (
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/core/medlarinventory"
	"medlarfield/internal/core/medlarkey"
	"medlarfield/internal/core/medlarworld"
	"medlarfield/internal/peer/medlarstoremessage"
)

// publisherOf returns a publisher of stores with parts, and a subscriber that wants them all.
func publisherOf(stores, parts int) (*Publisher, *subscriber) {
	p := NewPublisher(func() time.Duration { return 0 })
	near, _ := net.Pipe()
	c := &subscriber{conn: near, wake: make(chan struct{}, 1), sent: map[medlarid.InstanceID]position{}, nonce: 1 << 20}
	for i := range stores {
		e := medlarworld.InventoryReported{Store: medlarid.InstanceID(fmt.Sprint("store-", i)), Epoch: 1774547982893, At: time.Now().Add(-400 * time.Millisecond), Reset: true}
		for j := range parts {
			var k medlarkey.Key
			binary.BigEndian.PutUint64(k[:], uint64(j))
			e.Added = append(e.Added, medlarinventory.StoredPart{Key: k, Tokens: 500})
		}
		p.Report(e)
		c.wants = append(c.wants, medlarstoremessage.Want{Store: e.Store, Generation: uint64(i + 1)})
	}
	return p, c
}

// BenchmarkAnswer measures an answer that states the ages of the contents of 8 stores.
func BenchmarkAnswer(b *testing.B) {
	p, c := publisherOf(8, 1000)
	p.collect(c)
	var size int
	for b.Loop() {
		_, a := p.collect(c)
		encoded := a.Encode()
		if _, err := medlarstoremessage.DecodeAnswer(encoded); err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "B/answer")
	b.ReportMetric(float64(len(medlarstoremessage.Request{Nonce: c.nonce, Wants: c.wants}.Encode())), "B/request")
}

// BenchmarkList measures the complete contents of a store of 1,000 parts.
func BenchmarkList(b *testing.B) {
	p, c := publisherOf(1, 1000)
	var size int
	for b.Loop() {
		clear(c.sent)
		lists, _ := p.collect(c)
		size = 0
		for _, a := range lists {
			encoded := a.Encode()
			if _, err := medlarstoremessage.DecodeAnswer(encoded); err != nil {
				b.Fatal(err)
			}
			size += len(encoded)
		}
	}
	b.ReportMetric(float64(size), "B/list")
}
