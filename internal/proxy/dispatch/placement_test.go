package dispatch

import (
	"slices"
	"testing"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
)

// placedEndpoint returns a server in a zone, with a machine kind.
func placedEndpoint(id string, port uint16, zone, kind string) http1.Endpoint {
	h := loopbackEndpoint(id, port)
	h.Zone, h.MachineKind, h.StartedUnixMS = zone, kind, 1 // past slow start
	return h
}

// decoded decodes settings.
func decoded(t *testing.T, text string) settings.Settings {
	t.Helper()
	s, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// ports submits n concurrent requests and returns the ports of the servers that they are sent to, sorted.
func ports(d *Dispatcher, n int) (to []uint16) {
	for range n {
		request := submit(d)
		select {
		case <-request.ready:
			if decision := request.NextDecision(func() {}); decision.Action == SendAttempt && !slices.Contains(to, decision.Address.Port()) {
				to = append(to, decision.Address.Port())
			}
		default:
		}
	}
	slices.Sort(to)
	return to
}

// TestPlacement checks that requests of a traffic type that the settings bind to zones and machine kinds, by index or by name,
// are sent to no other servers.
func TestPlacement(t *testing.T) {
	serverEndpoints := []http1.Endpoint{placedEndpoint("a", 1, "north", "small"), placedEndpoint("b", 2, "south", "small"), placedEndpoint("c", 3, "south", "large"),
		placedEndpoint("d", 4, "west", "large")}
	moved := placedEndpoint("a", 1, "south", "small")
	for name, c := range map[string]struct {
		binding string
		changes []http1.Endpoint // incremental list
		want    []uint16         // ports that attempts are sent to
	}{
		"no binding":                {`"window":0`, nil, []uint16{1, 2, 3, 4}},
		"a zone by its index":       {`"dcsOnly":[1]`, nil, []uint16{2, 3}},
		"a zone by its name":        {`"dcsOnly":["south"]`, nil, []uint16{2, 3}},
		"a kind by its index":       {`"allowedOn":[1]`, nil, []uint16{3, 4}},
		"a zone and a kind":         {`"dcsOnly":["south"],"allowedOn":["large"]`, nil, []uint16{3}},
		"a zone that is not listed": {`"dcsOnly":["west"]`, nil, []uint16{4}},
		"an index beyond the list":  {`"dcsOnly":[2,3,4,5,6]`, nil, nil},
		"a zone that no server has": {`"dcsOnly":["east"]`, nil, nil},
		"empty list of zones":       {`"dcsOnly":[]`, nil, nil},
		"an added server":           {`"dcsOnly":["east"]`, []http1.Endpoint{placedEndpoint("e", 5, "east", "large")}, []uint16{5}},
		"a server that moves in":    {`"dcsOnly":["south"]`, []http1.Endpoint{moved}, []uint16{1, 2, 3}},
		"a server that moves out":   {`"dcsOnly":["north"]`, []http1.Endpoint{moved}, nil},
		"a server of another kind":  {`"allowedOn":["small"]`, []http1.Endpoint{placedEndpoint("a", 1, "north", "large")}, []uint16{2}},
		"a kind that is not listed": {`"allowedOn":["huge"]`, []http1.Endpoint{placedEndpoint("f", 6, "north", "huge")}, []uint16{6}},
		"a zone name in other case": {`"dcsOnly":["South"]`, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := decoded(t, `{"dcs":["north","south"],"skus":["small","large"],"limits":{"mostHops":4,"connectTimeout":1000,"connIdle":1000},
				"trafficTypes":[{"name":"check","targetTime":60000,"abandonTime":60000,"idempotency":"safe","revenue":1,`+c.binding+`}]}`)
			d := New(s, 1, limits, engine.NewPolicy)
			t.Cleanup(d.Stop)
			d.ApplyList(fullList(serverEndpoints...), endpoints.SourceConfig)
			if len(c.changes) > 0 {
				d.ApplyList(http1.EndpointList{Endpoints: c.changes}, endpoints.SourceDiscovery)
			}
			if got := ports(d, 16); !slices.Equal(got, c.want) {
				t.Errorf("got attempts at ports %v, want %v", got, c.want)
			}
		})
	}
}
