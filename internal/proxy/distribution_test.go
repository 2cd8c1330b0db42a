package proxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/distribution/control"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/route"
)

// newTestApplier returns a distributionApplier without a client, so that no socket is involved.
func newTestApplier(t *testing.T) *distributionApplier {
	t.Helper()
	cfg := config()
	dispatcher := dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)
	t.Cleanup(dispatcher.Stop)
	return &distributionApplier{dispatcher: dispatcher, settings: &cfg.Settings, logger: zerolog.Nop(), incarnations: incarnation.NewTable(), parsed: map[distribution.Key]parsedFragment{}}
}

func entryOf(kind distribution.Kind, name string, clock uint64, val []byte) distribution.Entry {
	return distribution.Entry{Key: distribution.Key{Service: "hire", Kind: kind, Name: name}, Clock: clock, Origin: "root/1", Sequence: clock, Value: val,
		Deleted: val == nil}
}

func serverEntry(t *testing.T, clock uint64, e incarnation.Entry) distribution.Entry {
	t.Helper()
	val, err := value.EncodeServer(e)
	if err != nil {
		t.Fatal(err)
	}
	return entryOf(distribution.KindServer, e.ID, clock, val)
}

// The state of a server depends on the clocks of its announcements, not on the order in which they arrive.
func TestDistributedServers(t *testing.T) {
	up := incarnation.Entry{ID: "s", Address: "127.0.0.1:80", StartedUnixMS: 1000, Weight: 1}
	draining := up
	draining.Condition = incarnation.Draining
	restarted := up
	restarted.StartedUnixMS = 2000
	moved := up
	moved.Address = "127.0.0.1:81"
	for name, c := range map[string]struct {
		announced []distribution.Entry
		used      bool
		condition incarnation.Condition
		at        string
	}{
		"up":                           {[]distribution.Entry{serverEntry(t, 1, up)}, true, incarnation.Up, "127.0.0.1:80"},
		"moved":                        {[]distribution.Entry{serverEntry(t, 1, up), serverEntry(t, 2, moved)}, true, incarnation.Up, "127.0.0.1:81"},
		"draining":                     {[]distribution.Entry{serverEntry(t, 1, up), serverEntry(t, 2, draining)}, false, incarnation.Draining, "127.0.0.1:80"},
		"older up after the drain":     {[]distribution.Entry{serverEntry(t, 1, up), serverEntry(t, 3, draining), serverEntry(t, 2, up)}, false, incarnation.Draining, "127.0.0.1:80"},
		"drain is canceled":            {[]distribution.Entry{serverEntry(t, 1, up), serverEntry(t, 2, draining), serverEntry(t, 3, up)}, true, incarnation.Up, "127.0.0.1:80"},
		"deleted":                      {[]distribution.Entry{serverEntry(t, 1, up), entryOf(distribution.KindServer, "s", 2, nil)}, false, incarnation.Gone, "127.0.0.1:80"},
		"older up after the deletion":  {[]distribution.Entry{serverEntry(t, 1, up), entryOf(distribution.KindServer, "s", 3, nil), serverEntry(t, 2, up)}, false, incarnation.Gone, "127.0.0.1:80"},
		"written after the deletion":   {[]distribution.Entry{serverEntry(t, 1, up), entryOf(distribution.KindServer, "s", 2, nil), serverEntry(t, 3, up)}, true, incarnation.Up, "127.0.0.1:80"},
		"restarted":                    {[]distribution.Entry{serverEntry(t, 1, draining), serverEntry(t, 2, restarted)}, true, incarnation.Up, "127.0.0.1:80"},
		"invalid value, old one stays": {[]distribution.Entry{serverEntry(t, 1, up), entryOf(distribution.KindServer, "s", 2, []byte("bad"))}, true, incarnation.Up, "127.0.0.1:80"},
	} {
		t.Run(name, func(t *testing.T) {
			applier := newTestApplier(t)
			applier.ApplyServers(nil, true)
			for _, e := range c.announced {
				applier.ApplyServers([]distribution.Entry{e}, false)
			}
			records, from, _, _ := applier.dispatcher.Endpoints()
			if len(records) == 0 && c.condition == incarnation.Gone { // the dispatcher has discarded it
				return
			}
			if len(records) != 1 || records[0].IsUsable != c.used || records[0].Condition != c.condition || records[0].Address.String() != c.at || from != endpoints.SourceDistribution {
				t.Errorf("unexpected endpoints %+v from %v", records, from)
			}
		})
	}
}

// The first complete list removes the servers of earlier sources, and a list of discovery has no effect after it.
func TestDistributedServersComplete(t *testing.T) {
	applier := newTestApplier(t)
	applier.dispatcher.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "old", Address: netip.MustParseAddrPort("127.0.0.1:9"), Weight: 1}}, IsComplete: true}, endpoints.SourceConfig)
	applier.ApplyServers([]distribution.Entry{serverEntry(t, 1, incarnation.Entry{ID: "s", Address: "127.0.0.1:80", Weight: 1})}, true)
	records, _, _, _ := applier.dispatcher.Endpoints()
	for _, record := range records {
		if record.IsUsable != (record.ID == "s") {
			t.Errorf("got %+v, want only server s usable", record)
		}
	}
	applier.applyDiscoveryList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "late", Address: netip.MustParseAddrPort("127.0.0.1:10"), Weight: 1}}})
	if records, from, _, _ := applier.dispatcher.Endpoints(); from != endpoints.SourceDistribution || len(records) > 2 {
		t.Errorf("list of discovery was applied: got %+v from %v", records, from)
	}
}

// Invalid servers, routes and tenants are returned with the reason, and all others are applied. The last good versions of invalid routes and
// tenants stay in effect.
func TestDistributedRejections(t *testing.T) {
	text := func(kind distribution.Kind, name string, clock uint64, text string) distribution.Entry {
		return entryOf(kind, name, clock, []byte(text))
	}
	tenant := func(name string, clock uint64, allowance string) distribution.Entry {
		return text(distribution.KindTenant, name, clock, allowance)
	}
	const ten, minus = "\x81\xf9\x49\x00", "\x81\xf9\xc9\x00" // [10.0], [-10.0]
	applier := newTestApplier(t)
	for _, c := range []struct {
		what     string
		apply    func() []distribution.Rejection
		rejected string
		want     string // routes in effect
	}{
		{"servers", func() []distribution.Rejection {
			return applier.ApplyServers([]distribution.Entry{text(distribution.KindServer, "s", 1, "x"), serverEntry(t, 1, incarnation.Entry{ID: "t", Address: "127.0.0.1:80", Weight: 1})}, true)
		}, "hire/server/s: decode server: value is invalid", ""},
		{"a server of another name", func() []distribution.Rejection {
			e := serverEntry(t, 1, incarnation.Entry{ID: "t", Address: "127.0.0.1:80", Weight: 1})
			e.Key.Name = "u"
			return applier.ApplyServers([]distribution.Entry{e}, false)
		}, "hire/server/u: value names server \"t\", want the name in its key", ""},
		{"routes", func() []distribution.Rejection {
			return applier.ApplyRoutes([]distribution.Entry{text(distribution.KindRoute, "a", 1, "type = \"check\"\nhops = 2"), text(distribution.KindRoute, "b", 2, "type = \"dance\""),
				text(distribution.KindPool, "p", 3, "servers = [\"s*\"]")})
		}, "hire/route/b: no traffic type \"dance\": there are check, book", "hire/a"},
		{"a route's next value", func() []distribution.Rejection {
			return applier.ApplyRoutes([]distribution.Entry{text(distribution.KindRoute, "a", 4, "type = \"check\"\nhops = 9"), text(distribution.KindRoute, "b", 5, "type = \"book\"")})
		}, "hire/route/a: route \"hire/a\", type check: 9 attempts, but the settings allow 4", "hire/a hire/b"},
		{"the same again", func() []distribution.Rejection {
			return applier.ApplyRoutes([]distribution.Entry{text(distribution.KindRoute, "a", 4, "type = \"check\"\nhops = 9"), text(distribution.KindRoute, "b", 6, "hops = ")})
		}, "hire/route/a: route \"hire/a\", type check: 9 attempts, but the settings allow 4; hire/route/b: route hire/b:1: ", "hire/a hire/b"},
		{"deleted", func() []distribution.Rejection {
			return applier.ApplyRoutes([]distribution.Entry{text(distribution.KindRoute, "b", 7, "type = \"book\"")})
		}, "", "hire/b"},
		{"tenants", func() []distribution.Rejection {
			return applier.ApplyTenants([]distribution.Entry{tenant("dairy", 1, ten), tenant("orchards", 1, minus), tenant("mill", 1, "x")})
		}, "hire/tenant/orchards: allowance -10: want a finite number of at least 0; hire/tenant/mill: decode tenant: value is invalid", "hire/b"},
		{"a tenant's next value", func() []distribution.Rejection {
			return applier.ApplyTenants([]distribution.Entry{tenant("dairy", 2, minus)})
		},
			"hire/tenant/dairy: allowance -10", "hire/b"},
	} {
		var got []string
		for _, r := range c.apply() {
			got = append(got, r.Key.String()+": "+r.Reason)
		}
		all := strings.Join(got, "; ")
		if (all == "") != (c.rejected == "") || !strings.HasPrefix(all, c.rejected) {
			t.Errorf("%s: got rejections %q, want %q", c.what, all, c.rejected)
		}
		var routes []string
		if table := applier.dispatcher.Routes(); table != nil {
			for _, r := range table.Routes {
				routes = append(routes, r.Name)
			}
		}
		if strings.Join(routes, " ") != c.want {
			t.Errorf("%s: got routes %q in effect, want %q", c.what, routes, c.want)
		}
	}
	if applier.quotas["dairy"] != 10 || len(applier.quotas) != 1 {
		t.Errorf("got quotas %v in effect, want only 10 for dairy", applier.quotas)
	}
}

// The entries build on the operator's file, also after the file has changed.
func TestDistributedRoutesOverOperatorFile(t *testing.T) {
	applier := newTestApplier(t)
	file := func(text string) *route.Table {
		table, err := route.Parse("f", []byte(text), applier.settings)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	applier.operatorRoutes = file("[defaults]\nbody_bytes = 7\n[[routes]]\nname = \"own\"\ntype = \"book\"\n")
	applier.ApplyRoutes([]distribution.Entry{entryOf(distribution.KindRoute, "a", 1, []byte("type = \"check\""))})
	maxBodySizes := func() string {
		table, sizes := applier.dispatcher.Routes(), []string{}
		for i, r := range table.Routes {
			kind := 0
			if r.Type == "book" {
				kind = 1
			}
			sizes = append(sizes, fmt.Sprint(r.Name, " ", table.MaxBodyBytes(i, kind, 99)))
		}
		return strings.Join(sizes, ", ")
	}
	if got := maxBodySizes(); got != "own 7, hire/a 7" {
		t.Error(got)
	}
	applier.setOperatorRoutes(file("[defaults]\nbody_bytes = 8\n"))
	if got := maxBodySizes(); got != "hire/a 8" {
		t.Error(got)
	}
	applier.setOperatorRoutes(nil)
	if got := maxBodySizes(); got != "hire/a 99" {
		t.Error(got)
	}
}

// A last good version that is in effect in place of an invalid newer version is in effect after a restart too. It is removed when its entry is
// deleted.
func TestLastGoodAfterRestart(t *testing.T) {
	dir := t.TempDir()
	restart := func() *distributionApplier {
		applier := newTestApplier(t)
		var stored []distribution.Entry
		var err error
		if applier.lastGood, stored, err = openLastGood(dir); err != nil {
			t.Fatal(err)
		}
		applier.effectiveTenants = map[distribution.Key]distribution.Entry{}
		applier.restoreLastGood(stored)
		return applier
	}
	entry := func(kind distribution.Kind, name string, clock uint64, v string) distribution.Entry {
		return entryOf(kind, name, clock, []byte(v))
	}
	const ten, minus = "\x81\xf9\x49\x00", "\x81\xf9\xc9\x00" // [10.0], [-10.0]
	first := []distribution.Entry{entry(distribution.KindRoute, "a", 1, "type = \"check\"\nbody_bytes = 7"), entry(distribution.KindRoute, "b", 2, "type = \"book\"")}
	second := []distribution.Entry{first[1], entry(distribution.KindRoute, "a", 3, "type = \"dance\"")}
	check := func(applier *distributionApplier, what string, want int) {
		t.Helper()
		table, maxBody := applier.dispatcher.Routes(), 0
		for i, r := range table.Routes {
			if r.Name == "hire/a" {
				maxBody = table.MaxBodyBytes(i, 0, 99)
			}
		}
		if maxBody != want || want > 0 && applier.quotas["dairy"] != 10 {
			t.Errorf("%s: got a maximum body of %d bytes, want %d; quotas %v", what, maxBody, want, applier.quotas)
		}
	}
	applier := restart()
	applier.ApplyRoutes(first)
	applier.ApplyTenants([]distribution.Entry{entry(distribution.KindTenant, "dairy", 1, ten)})
	applier.ApplyRoutes(second)
	applier.ApplyTenants([]distribution.Entry{entry(distribution.KindTenant, "dairy", 2, minus)})
	check(applier, "before", 7)
	for range 2 {
		applier = restart()
		if n := len(applier.ApplyRoutes(second)) + len(applier.ApplyTenants([]distribution.Entry{entry(distribution.KindTenant, "dairy", 2, minus)})); n != 2 {
			t.Errorf("got %d rejections, want 2", n)
		}
		check(applier, "after a restart", 7)
	}
	applier.ApplyRoutes(first[1:])
	applier.ApplyTenants(nil)
	if _, err := os.Stat(filepath.Join(dir, lastGoodFileName)); !os.IsNotExist(err) {
		t.Errorf("last good file still exists: got error %v, want not exist", err)
	}
	applier = restart()
	applier.ApplyRoutes(second)
	check(applier, "after the deletion", 0)
	if err := os.WriteFile(filepath.Join(dir, lastGoodFileName), []byte("garbled"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, stored, err := openLastGood(dir); err == nil || len(stored) > 0 {
		t.Errorf("malformed file: got entries %v, error %v, want no entries and an error", stored, err)
	}
}

// The distribution must not be combined with another source of servers.
func TestDistributionIsOnlyListSource(t *testing.T) {
	for name, c := range map[string]Config{"registry": {Registry: &zookeeper.Config{}}, "planners": {Planners: &planconfig.Forwarder{}}, "snapshot": {Snapshot: &snapshot.Config{}}} {
		if err := c.checkSingleListSource(); err == nil || !strings.Contains(err.Error(), "--"+name) {
			t.Errorf("%s: got error %v, want one that names the flag", name, err)
		}
	}
	if err := (&Config{}).checkSingleListSource(); err != nil {
		t.Error(err)
	}
}

// Quotas of entries replace those of the settings, add up over services, and end when their entries are deleted.
func TestDistributedTenants(t *testing.T) {
	applier := newTestApplier(t)
	applier.settings.TenantNames, applier.settings.TenantQuotas = []string{"dairy"}, []float64{5}
	cfg := config()
	cfg.Settings.TenantNames, cfg.Settings.TenantQuotas = applier.settings.TenantNames, applier.settings.TenantQuotas
	applier.dispatcher = dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)
	t.Cleanup(applier.dispatcher.Stop)
	of := func(service, name string, allowance float64) distribution.Entry {
		v, err := value.EncodeTenant(value.Tenant{Allowance: allowance})
		if err != nil {
			t.Fatal(err)
		}
		e := entryOf(distribution.KindTenant, name, 1, v)
		e.Key.Service = service
		return e
	}
	for _, c := range []struct {
		announced []distribution.Entry
		want      string
	}{
		{nil, "dairy 5"},
		{[]distribution.Entry{of("hire", "dairy", 10)}, "dairy 10"},
		{[]distribution.Entry{of("hire", "dairy", 10), of("yard", "dairy", 2.5), of("hire", "mill", 3)}, "dairy 12.5, mill 3"},
		{[]distribution.Entry{of("hire", "mill", 4)}, "dairy 5, mill 4"},
		{nil, "dairy 5"},
	} {
		if rejected := applier.ApplyTenants(c.announced); len(rejected) > 0 {
			t.Error(rejected)
		}
		var got []string
		for _, tenant := range []string{"dairy", "mill"} { // a report names only tenants with traffic
			if allowance := applier.dispatcher.Quota(tenant); allowance > 0 {
				got = append(got, fmt.Sprint(tenant, " ", allowance))
			}
		}
		if strings.Join(got, ", ") != c.want {
			t.Errorf("got quotas %q in effect, want %q", got, c.want)
		}
	}
}

// A node that has reached no control process since its start polls discovery. Once a control process has announced servers, it uses only these.
func TestDiscoveryFallback(t *testing.T) {
	t.Parallel()
	serverEndpoints, used := servers(t, 1, okResponse)
	others, received := servers(t, 1, okResponse)
	cfg := config()
	polls := make(chan struct{}, 999)
	cfg.Discovery = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; time.Sleep(10 * time.Millisecond) {
			polls <- struct{}{}
			body := fmt.Sprintf(`{"revision":7,"complete":true,"members":[{"id":"of-discovery","host_port":"%s","phase":"SERVING","size":1}]}`, others[0].Address)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := listener.Addr().(*net.TCPAddr).AddrPort()
	listener.Close()
	cfg.Distribution = &client.Config{Control: []string{at.String()}, Addresses: []netip.AddrPort{at}, Services: []string{"hire"}, Directory: t.TempDir()}
	node, _ := startNode(t, cfg)
	<-polls
	await(t, "request at the server that discovery names", func() bool { get(t, dial(t, node), "/check/1"); return received.Load() > 0 })

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- control.Run(ctx, &control.Config{Name: "c", ListenAddress: at, Disk: filepath.Join(t.TempDir(), "c.db"), Follow: "one", TotalBytesPerSecond: 1 << 20,
			NodeBytesPerSecond: 1 << 20, ControlBytesPerSecond: 1 << 20, MaxConnections: 9, DeletionRetention: tomlfile.Duration(time.Hour)}, zerolog.Nop())
	}()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	entry := serverEntry(t, 1, incarnation.Entry{ID: serverEndpoints[0].ID, Address: serverEndpoints[0].Address.String(), Weight: 1})
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		s, err := client.Open(ctx, cfg.Distribution)
		if err == nil {
			_, err = s.Write([]distribution.Change{{Key: entry.Key, Value: entry.Value}})
			s.Close()
		}
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(20 * time.Second); used.Load() == 0; time.Sleep(20 * time.Millisecond) {
		get(t, dial(t, node), "/check/1")
		if time.Now().After(deadline) {
			t.Fatal("timeout after 20 s: server of the distribution got no request")
		}
	}
	before := received.Load()
	for range 20 {
		if r := get(t, dial(t, node), "/check/1"); r.Status != 200 {
			t.Errorf("got status %d, want 200", r.Status)
		}
	}
	if n := received.Load() - before; n > 0 {
		t.Errorf("got %d requests to the server that only discovery announces, want none", n)
	}
}
