package medlarattachednode_test

import (
	"net"
	"testing"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/ops/medlarattachednode"
	"medlarfield/internal/ops/medlarsettings"
	"medlarfield/internal/stand/medlarsite"
)

// TestAddressInUseAtTheStart guards against an instance that ends for good since another connection, or its own
// earlier process, holds its address for a moment.
func TestAddressInUseAtTheStart(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		address func(*medlarsettings.Attached) *medlarid.Address
		busy    time.Duration
		fails   bool
	}{
		{"for callers", func(cfg *medlarsettings.Attached) *medlarid.Address { return &cfg.Listen }, 300 * time.Millisecond, false},
		{"for status requests", func(cfg *medlarsettings.Attached) *medlarid.Address { return &cfg.Status }, 300 * time.Millisecond, false},
		{"for longer than an earlier process may need to end", func(cfg *medlarsettings.Attached) *medlarid.Address { return &cfg.Listen }, time.Minute, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			site, err := medlarsite.New(medlarsite.Default())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(site.Close)
			cfg, _, err := site.InstanceSettings("entry-1")
			if err != nil {
				t.Fatal(err)
			}
			cfg.Bounds.GracePeriod = medlarid.Duration(time.Second)
			holder, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = holder.Close() })
			*tc.address(&cfg) = medlarid.Address(holder.Addr().String())
			time.AfterFunc(tc.busy, func() { _ = holder.Close() })
			instance, err := medlarattachednode.New(cfg, &logs{})
			if err != nil {
				t.Fatal(err)
			}
			stop, err := instance.Start()
			if (err != nil) != tc.fails {
				t.Fatalf("error %v, want one: %v", err, tc.fails)
			}
			if err == nil {
				stop()
			}
		})
	}
}
