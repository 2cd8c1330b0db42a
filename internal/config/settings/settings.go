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
	Zones       []string      // that servers stand in, by number; then others that traffic types are bound to
	Kinds       []string      // of machines, likewise
	ConnIdle    time.Duration // an unused connection is closed after this at the latest
	DrainGrace  time.Duration // for which a server that is told to leave may still be sent to; below 0: not said
}

// CheckCompatible tells why settings cannot be watched beside these: they must name the same traffic types and tenants, and where
// they bind types also the same zones and kinds of machine, for servers have these by their numbers here.
func (s *Settings) CheckCompatible(other *Settings) error {
	if !slices.Equal(s.TypeNames, other.TypeNames) {
		return fmt.Errorf("settings name the traffic types %q, the node's own %q: both must name the same", other.TypeNames, s.TypeNames)
	}
	if !slices.Equal(s.TenantNames, other.TenantNames) {
		return fmt.Errorf("settings name the tenants %q, the node's own %q: both must name the same", other.TenantNames, s.TenantNames)
	}
	if len(other.Placements) > 0 && !(slices.Equal(s.Zones, other.Zones) && slices.Equal(s.Kinds, other.Kinds)) {
		return fmt.Errorf("settings bind traffic types and name the zones %q and kinds %q, the node's own %q and %q: both must name the same",
			other.Zones, other.Kinds, s.Zones, s.Kinds)
	}
	return nil
}

// FromMillis turns milliseconds into a duration.
func FromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// object is the settings as they stand on the wire; times are in milliseconds.
type object struct {
	GroupSize      int
	Me             int
	Zone           int
	Granularity    float64
	Discovery      string
	Weights        string
	OverageRevenue float64
	Extra          struct{ WarmKeys bool }
	Dcs            []string
	Skus           []string
	Limits         struct {
		ConnIdle       float64
		ConnectTimeout float64
		MaxRetryAfter  float64
		MostHops       int
		RetryAfter     bool
		SecondCopies   bool
	}
	Rules struct {
		AskWithin         float64
		Cold              float64
		FallMultiple      float64
		StartCapacity     float64
		StopSendingWithin *float64
		OnlyDrainingBinds bool
		DrainClose        json.RawMessage
	}
	Tenants []struct {
		Name          string
		AllowancePerS float64
	}
	TrafficTypes []trafficType
}

type trafficType struct {
	Name         string
	Idempotency  string
	KeyScope     string
	TargetTime   float64
	AbandonTime  float64
	Window       float64
	Revenue      float64
	TardyRevenue float64
	DcsOnly      json.RawMessage
	AllowedOn    json.RawMessage
}

// Decode reads the settings and tells what makes them unusable.
func Decode(text []byte) (Settings, error) {
	var raw object
	if err := json.Unmarshal(text, &raw); err != nil {
		return Settings{}, fmt.Errorf("settings cannot be read: %v", err)
	}
	s := Settings{Zones: raw.Dcs, Kinds: raw.Skus, ConnIdle: FromMillis(raw.Limits.ConnIdle), DrainGrace: -1}
	if raw.Rules.StopSendingWithin != nil {
		s.DrainGrace = max(FromMillis(*raw.Rules.StopSendingWithin), 0)
	}
	s.Settings = raw.figures()
	if raw.Rules.DrainClose != nil {
		within, err := drainClose(raw.Rules.DrainClose)
		if err != nil {
			return s, err
		}
		s.CloseOnDrain, s.DrainCloseTimeout = true, within
	}
	if raw.Limits.RetryAfter {
		s.MaxRetryAfter = FromMillis(raw.Limits.MaxRetryAfter)
	}
	if len(raw.TrafficTypes) == 0 {
		return s, errors.New("settings name no traffic types")
	}
	if s.MaxAttempts < 1 {
		return s, errors.New("settings allow no hop")
	}
	for _, t := range raw.Tenants {
		s.TenantNames = append(s.TenantNames, t.Name)
		s.TenantQuotas = append(s.TenantQuotas, t.AllowancePerS)
	}
	for i, t := range raw.TrafficTypes {
		decoded, err := t.decode(i)
		if err != nil {
			return s, err
		}
		if decoded.PlacementBit, err = s.place(i, &t); err != nil {
			return s, err
		}
		s.TypeNames = append(s.TypeNames, t.Name)
		s.TrafficTypes = append(s.TrafficTypes, decoded)
	}
	return s, nil
}

// figures are those that stand in the object as the module wants them.
func (raw *object) figures() policy.Settings {
	return policy.Settings{
		NodeCount: max(raw.GroupSize, 1), NodeIndex: max(raw.Me, 0), Zone: raw.Zone, TimerGranularity: FromMillis(raw.Granularity),
		OverQuotaWeightShare:   raw.OverageRevenue,
		MustRequestEndpoints:   raw.Discovery == "on_request",
		WeightsFollowLoad:      raw.Weights == "live",
		MaxAttempts:            raw.Limits.MostHops,
		HedgingAllowed:         raw.Limits.SecondCopies,
		ServersCacheKeys:       raw.Extra.WarmKeys,
		ConnectTimeout:         FromMillis(raw.Limits.ConnectTimeout),
		RequestEndpointsWithin: FromMillis(raw.Rules.AskWithin), SlowStartDuration: FromMillis(raw.Rules.Cold),
		SlowStartInitialCapacity: raw.Rules.StartCapacity, CrashLoadFactor: raw.Rules.FallMultiple,
		UnlistedUsable: raw.Rules.OnlyDrainingBinds,
	}
}

// decode reads the type that stands at a place of the list.
func (t *trafficType) decode(i int) (policy.TrafficType, error) {
	tt := policy.TrafficType{LatencyObjective: FromMillis(t.TargetTime), ClientTimeout: FromMillis(t.AbandonTime),
		KeyRetention: FromMillis(t.Window), PriorityWeight: t.Revenue, LateWeightShare: t.TardyRevenue}
	if tt.LatencyObjective <= 0 {
		return tt, fmt.Errorf("traffic type %d has no target time", i)
	}
	if t.TardyRevenue < 0 || t.TardyRevenue > 1 {
		return tt, fmt.Errorf("traffic type %d: tardyRevenue is %g, a share of the revenue from 0 to 1 is wanted", i, t.TardyRevenue)
	}
	switch t.Idempotency {
	case "safe":
		tt.Idempotency = policy.Idempotent
	case "keyed":
		tt.Idempotency = policy.IdempotentWithKey
	case "unsafe":
		tt.Idempotency = policy.NonIdempotent
	default:
		return tt, fmt.Errorf("traffic type %d: unknown idempotency %q", i, t.Idempotency)
	}
	switch t.KeyScope {
	case "all", "":
		tt.KeyScope = policy.KeyScopeAll
	case "zone":
		tt.KeyScope = policy.KeyScopeZone
	case "cell":
		tt.KeyScope = policy.KeyScopeCell
	default:
		return tt, fmt.Errorf("traffic type %d: unknown keyScope %q", i, t.KeyScope)
	}
	return tt, nil
}
