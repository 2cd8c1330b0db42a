// Package settings decodes the object of settings that an instance gets at its start, on the simulator's
// wire and in a node's configuration alike.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"fernvane/policy"
)

// Settings are the figures that the module reads, and those that only a node on sockets needs.
type Settings struct {
	policy.Settings
	TypeNames   []string
	TenantNames []string
	Zones       []string
	ConnIdle    time.Duration // an unused connection is closed after this at the latest
	DrainGrace  time.Duration // for which a server that is told to leave may still be sent to; below 0: not said
}

// Fits tells why settings cannot be watched beside these: they must name the same traffic types and tenants.
func (s *Settings) Fits(other *Settings) error {
	if !slices.Equal(s.TypeNames, other.TypeNames) {
		return fmt.Errorf("settings name the traffic types %q, the node's own %q: both must name the same", other.TypeNames, s.TypeNames)
	}
	if !slices.Equal(s.TenantNames, other.TenantNames) {
		return fmt.Errorf("settings name the tenants %q, the node's own %q: both must name the same", other.TenantNames, s.TenantNames)
	}
	return nil
}

// Span turns milliseconds into a duration.
func Span(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// Decode reads the settings and tells what makes them unusable.
func Decode(object []byte) (Settings, error) {
	var raw struct {
		GroupSize, Me  int
		Zone           int
		Granularity    float64
		Discovery      string
		OverageRevenue float64
		Extra          struct{ WarmKeys bool }
		Dcs            []string
		Limits         struct {
			ConnIdle       float64
			ConnectTimeout float64
			MaxRetryAfter  float64
			MostHops       int
			RetryAfter     bool
			SecondCopies   bool
		}
		Rules struct {
			AskWithin, Cold, FallMultiple, StartCapacity float64
			StopSendingWithin                            *float64
			OnlyDrainingBinds                            bool
		}
		Tenants []struct {
			Name          string
			AllowancePerS float64
		}
		TrafficTypes []struct {
			AbandonTime, TargetTime, Window float64
			Revenue, TardyRevenue           float64
			Name, Idempotency, KeyScope     string
		}
	}
	if err := json.Unmarshal(object, &raw); err != nil {
		return Settings{}, fmt.Errorf("settings cannot be read: %v", err)
	}
	s := Settings{Zones: raw.Dcs, ConnIdle: Span(raw.Limits.ConnIdle), DrainGrace: -1}
	if raw.Rules.StopSendingWithin != nil {
		s.DrainGrace = max(Span(*raw.Rules.StopSendingWithin), 0)
	}
	s.Settings = policy.Settings{
		Nodes: max(raw.GroupSize, 1), Me: max(raw.Me, 0), Zone: raw.Zone, Tick: Span(raw.Granularity),
		OverageRevenue: raw.OverageRevenue,
		OnRequest:      raw.Discovery == "on_request",
		MostHops:       raw.Limits.MostHops,
		Copies:         raw.Limits.SecondCopies,
		WarmKeys:       raw.Extra.WarmKeys,
		ConnectTimeout: Span(raw.Limits.ConnectTimeout),
		AskWithin:      Span(raw.Rules.AskWithin), ColdFor: Span(raw.Rules.Cold),
		ColdStart: raw.Rules.StartCapacity, FallMultiple: raw.Rules.FallMultiple,
		OnlyDraining: raw.Rules.OnlyDrainingBinds,
	}
	if raw.Limits.RetryAfter {
		s.MaxRetryIn = Span(raw.Limits.MaxRetryAfter)
	}
	if len(raw.TrafficTypes) == 0 {
		return s, errors.New("settings name no traffic types")
	}
	if s.MostHops < 1 {
		return s, errors.New("settings allow no hop")
	}
	for _, t := range raw.Tenants {
		s.TenantNames = append(s.TenantNames, t.Name)
		s.AllowancePerS = append(s.AllowancePerS, t.AllowancePerS)
	}
	for i, t := range raw.TrafficTypes {
		tt := policy.TrafficType{TargetTime: Span(t.TargetTime), AbandonTime: Span(t.AbandonTime),
			Window: Span(t.Window), Revenue: t.Revenue, LateRevenue: t.TardyRevenue}
		if tt.TargetTime <= 0 {
			return s, fmt.Errorf("traffic type %d has no target time", i)
		}
		if t.TardyRevenue < 0 || t.TardyRevenue > 1 {
			return s, fmt.Errorf("traffic type %d: tardyRevenue is %g, a share of the revenue from 0 to 1 is wanted", i, t.TardyRevenue)
		}
		switch t.Idempotency {
		case "safe":
			tt.Repeat = policy.Retriable
		case "keyed":
			tt.Repeat = policy.Fingerprinted
		case "unsafe":
			tt.Repeat = policy.Binding
		default:
			return s, fmt.Errorf("traffic type %d: unknown idempotency %q", i, t.Idempotency)
		}
		switch t.KeyScope {
		case "all", "":
			tt.Group = policy.GroupAll
		case "zone":
			tt.Group = policy.GroupZone
		case "cell":
			tt.Group = policy.GroupCell
		default:
			return s, fmt.Errorf("traffic type %d: unknown keyScope %q", i, t.KeyScope)
		}
		s.TypeNames = append(s.TypeNames, t.Name)
		s.Types = append(s.Types, tt)
	}
	return s, nil
}
