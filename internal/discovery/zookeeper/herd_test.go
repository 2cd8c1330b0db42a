package zookeeper

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/endpoints"
	standin "fernvane/internal/testbed/standin/zookeeper"
)

// TestHerd measures what 500 readers ask of an ensemble of three while 50 servers come and go, ten times a second. It is
// long, and runs with HERD=1 only.
func TestHerd(t *testing.T) {
	if os.Getenv("HERD") == "" {
		t.Skip("HERD=1 has it run")
	}
	r := standin.New(nil)
	var at []string
	for range 3 {
		s, err := r.Listen("127.0.0.1:0", 0)
		if err != nil {
			t.Fatal(err)
		}
		at = append(at, s.Address())
	}
	var own []*standin.Owned
	put := func(i int) *standin.Owned {
		return r.Own(time.Hour, map[string][]byte{fmt.Sprintf("/hire/b%d", i): data(i + 1)})
	}
	for i := range 50 {
		own = append(own, put(i))
	}
	cfg := &Config{Servers: at, Path: "/hire", SessionTimeout: tomlfile.Duration(6 * time.Second)}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var announced atomic.Int64
	for range 500 {
		conn, err := Dial(cfg)
		if err != nil {
			t.Fatal(err)
		}
		reader := NewReader(conn, cfg, func([]endpoints.RegistryEntry) { announced.Add(1) }, func(error) {})
		all.Go(func() { reader.Run(ctx) })
	}
	for announced.Load() < 500 {
		time.Sleep(10 * time.Millisecond)
	}
	began, calls := time.Now(), r.Calls()
	for i := range 100 {
		own[i%50].End()
		time.Sleep(50 * time.Millisecond)
		own[i%50] = put(i % 50)
		time.Sleep(50 * time.Millisecond)
	}
	took := time.Since(began).Seconds()
	callsPerSecond := float64(r.Calls()-calls) / took
	t.Logf("%.0f calls a second by 500 readers at %.0f changes a second: %.1f each", callsPerSecond, 200/took, callsPerSecond/500)
	// At the rate of readings, the children and an entry are read.
	if maxCallsPerSecond := 500 * (1 / minReadInterval.Seconds()) * 2; callsPerSecond > maxCallsPerSecond {
		t.Errorf("more than %.0f", maxCallsPerSecond)
	}
	cancel()
	all.Wait()
	r.Close()
}
