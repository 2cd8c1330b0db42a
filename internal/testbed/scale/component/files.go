package component

import (
	"bytes"
	"encoding/json"
	"fmt"

	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/route"
)

type object = map[string]any

// settingsText returns settings with three traffic types and a given number of tenants.
func settingsText(tenants int) []byte {
	all, types := []object{}, []object{}
	for i := range tenants {
		all = append(all, object{"name": fmt.Sprintf("tenant-%06d", i), "allowancePerS": 8.5})
	}
	for i, idempotency := range []string{"safe", "keyed", "unsafe"} {
		types = append(types, object{"name": fmt.Sprintf("svc%04d", i), "targetTime": 200, "abandonTime": 1000, "window": 2000, "revenue": 1,
			"keyScope": "all", "idempotency": idempotency})
	}
	text, err := json.Marshal(object{"groupSize": 5800, "me": 1, "granularity": 2, "discovery": "on_request", "overageRevenue": 0.3,
		"dcs": []string{"region-0-zone-0"}, "trafficTypes": types, "tenants": all,
		"limits": object{"connIdle": 5000, "connectTimeout": 100, "mostHops": 3},
		"rules":  object{"askWithin": 2000, "stopSendingWithin": 500, "cold": 5000, "fallMultiple": 2, "startCapacity": 0.3}})
	if err != nil {
		panic(err) // the value above is encodable
	}
	return text
}

func decodedSettings(tenants int) (settings.Settings, error) {
	return settings.Decode(settingsText(tenants))
}

// operatorText returns an operator's file with a given number of routes, each with a rate limit and a concurrency limit.
func operatorText(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&b, "[[routes]]\nname = \"route-%05d\"\ntype = \"svc0001\"\npath = \"/svc0001/p%05d/**\"\nrate = %d\nat_once = 40\n\n", i, i, 100+i%50)
	}
	return b.Bytes()
}

func routesOf(n int) (*route.Table, error) {
	s, err := decodedSettings(4)
	if err != nil {
		return nil, err
	}
	return route.Parse("operator.toml", operatorText(n), &s)
}

// reportOf returns the report to planners of a node with a given number of tenants, none of which sends requests.
func reportOf(tenants int) (plan.Report, error) {
	f, err := newDispatcher(tenants)
	if err != nil {
		return plan.Report{}, err
	}
	defer f.Stop()
	f.EnableReports()
	return f.Report(), nil
}

func files() []figure {
	routes, tenants := doublingSizes(64, 8192), doublingSizes(256, 262_144)
	return []figure{
		{Series{Name: "routes-bytes", About: "the operator's file", By: "routes", Unit: "B", Exact: true}, doublingSizes(64, 131_072),
			func(n int) (float64, error) { return float64(len(operatorText(n))), nil }},
		{Series{Name: "routes-read", About: "decoding and checking the operator's file", By: "routes", Unit: "ms"}, routes, func(n int) (float64, error) {
			var err error
			took := minCPUTime(3, func() { _, err = routesOf(n) })
			return took, err
		}},
		{Series{Name: "routes-memory", About: "route table of the operator's file", By: "routes", Unit: "B"}, routes, func(n int) (float64, error) {
			var err error
			bytes := retainedBytes(func() any {
				var s *route.Table
				s, err = routesOf(n)
				return s
			})
			return bytes, err
		}},
		{Series{Name: "tenants-bytes", About: "tenants in the settings", By: "tenants", Unit: "B", Exact: true}, tenants,
			func(n int) (float64, error) { return float64(len(settingsText(n))), nil }},
		{Series{Name: "tenants-read", About: "decoding settings with tenants", By: "tenants", Unit: "ms"}, tenants, func(n int) (float64, error) {
			b := settingsText(n)
			return minCPUTime(3, func() { settings.Decode(b) }), nil
		}},
		{Series{Name: "tenants-memory", About: "a node's dispatcher and policy with tenants, without traffic", By: "tenants", Unit: "B"}, tenants,
			func(n int) (float64, error) {
				var err error
				bytes := retainedBytes(func() any {
					f, createErr := newDispatcher(n)
					err = createErr
					return f
				})
				return bytes, err
			}},
		{Series{Name: "report-bytes", About: "a node's report to a planner, without traffic", By: "tenants", Unit: "B", Exact: true}, doublingSizes(64, 8192),
			func(n int) (float64, error) {
				r, err := reportOf(n)
				if err != nil {
					return 0, err
				}
				frame, err := planwire.Append(nil, planwire.ReportKind, r)
				return float64(len(frame)), err
			}},
	}
}
