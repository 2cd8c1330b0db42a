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

// TestHerd measures the requests that 500 Readers make to an ensemble of three servers while entries are removed and added ten
// times per second. It is long, so it runs only with HERD=1.
func TestHerd(t *testing.T) {
	if os.Getenv("HERD") == "" {
		t.Skip("set HERD=1 to run this test")
	}
	registry := standin.New(nil)
	var addresses []string
	for range 3 {
		s, err := registry.Listen("127.0.0.1:0", 0)
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, s.Address())
	}
	var sessions []*standin.OwnedSession
	addEntry := func(i int) *standin.OwnedSession {
		return registry.OpenSession(time.Hour, map[string][]byte{fmt.Sprintf("/hire/b%d", i): data(i + 1)})
	}
	for i := range 50 {
		sessions = append(sessions, addEntry(i))
	}
	config := &Config{Servers: addresses, Path: "/hire", SessionTimeout: tomlfile.Duration(6 * time.Second)}
	ctx, cancel := context.WithCancel(context.Background())
	var readers sync.WaitGroup
	var announced atomic.Int64
	for range 500 {
		conn, err := Dial(config)
		if err != nil {
			t.Fatal(err)
		}
		reader := NewReader(conn, config, func([]endpoints.RegistryEntry) { announced.Add(1) }, func(error) {})
		readers.Go(func() { reader.Run(ctx) })
	}
	for announced.Load() < 500 {
		time.Sleep(10 * time.Millisecond)
	}
	startedAt, requests := time.Now(), registry.Requests()
	for i := range 100 {
		sessions[i%50].End()
		time.Sleep(50 * time.Millisecond)
		sessions[i%50] = addEntry(i % 50)
		time.Sleep(50 * time.Millisecond)
	}
	seconds := time.Since(startedAt).Seconds()
	requestsPerSecond := float64(registry.Requests()-requests) / seconds
	t.Logf("%.0f requests per second by 500 readers at %.0f changes per second: %.1f per reader", requestsPerSecond, 200/seconds, requestsPerSecond/500)
	// Each read of a Reader consists of at most two requests: one for the children and one for an entry.
	if maxRequestsPerSecond := 500 * (1 / minReadInterval.Seconds()) * 2; requestsPerSecond > maxRequestsPerSecond {
		t.Errorf("got more requests per second than the limit of %.0f", maxRequestsPerSecond)
	}
	cancel()
	readers.Wait()
	registry.Close()
}
