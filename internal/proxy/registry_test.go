package proxy

import (
	"fmt"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/testbed/standin/address"
	standin "fernvane/internal/testbed/standin/zookeeper"
)

// Guards against a node that puts its cached list back into effect over the registry's newer list: servers that left the registry while the
// node did not run would get new requests for as long as they respond. A registry that lists nothing changes nothing.
func TestRegistryReplacesCachedList(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		listed int // of four servers of the cached list
	}{
		"most have left": {1},
		"one has left":   {3},
		"none listed":    {0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			registry := standin.New(nil)
			t.Cleanup(registry.Close)
			ensemble, err := registry.Listen("127.0.0.1:0", 0)
			if err != nil {
				t.Fatal(err)
			}
			var servers []*countingServer
			var cached []snapshot.Server
			for i := range 4 {
				server := newCountingServer(t, "")
				servers = append(servers, server)
				cached = append(cached, server.server(fmt.Sprint("s", i), incarnation.Up))
			}
			// The status of a server at which nobody listens changes again and again, and each change puts a suspect list into effect.
			cached = append(cached, snapshot.Server{ID: "dead", Address: address.Free(t), Weight: 1})
			cfg := config()
			cfg.Snapshot = cachedList(t, nil, cached...)
			cfg.Registry = &zookeeper.Config{Servers: []string{ensemble.Address()}, Path: "/hire", SessionTimeout: tomlfile.Duration(time.Second)}
			registry.OpenSession(time.Hour, map[string][]byte{"/hire-other/x": nil}) // the registry has no path yet, so the cached list is used
			at, _ := startNode(t, cfg)
			for !allCounted(servers) {
				sendConcurrently(t, at)
			}
			for bookStatus(t, at) != 200 {
				sendConcurrently(t, at)
			}
			entries := map[string][]byte{"/hire/x": []byte("no address")} // creates the path
			for i := range c.listed {
				entries[fmt.Sprint("/hire/s", i)] = []byte(servers[i].at.String())
			}
			registry.OpenSession(time.Hour, entries)
			readBy := time.Now().Add(maxRegistryRetry)
			if c.listed > 0 {
				for time.Now().Before(readBy.Add(incompleteRegistryListDuration + unconfirmedPollInterval)) {
					sendConcurrently(t, at)
				}
			} else {
				time.Sleep(time.Until(readBy))
			}
			before := make([]int, len(servers))
			for i, server := range servers {
				before[i] = server.count("check")
			}
			for by := time.Now().Add(5 * time.Second); time.Now().Before(by); {
				sendConcurrently(t, at) // the responses must not put the cached list into effect again
			}
			for i, server := range servers {
				got := server.count("check") - before[i]
				if isUsed := i < c.listed || c.listed == 0; (got > 0) != isUsed {
					t.Errorf("s%d got %d requests after the list, want some: %t", i, got, isUsed)
				}
			}
		})
	}
}

// maxRegistryRetry is how long the reader may wait between two attempts to read a path that does not exist.
const maxRegistryRetry = 4 * time.Second

func allCounted(servers []*countingServer) bool {
	for _, server := range servers {
		if server.count("check") == 0 {
			return false
		}
	}
	return true
}
