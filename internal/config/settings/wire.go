package settings

import (
	"encoding/json"
	"fmt"

	"fernvane/policy"
)

// object is the platform's JSON form of the settings. All times are in milliseconds.
type object struct {
	GroupSize      int     `json:"groupSize"`
	Me             int     `json:"me"`
	Zone           int     `json:"zone"`
	Granularity    float64 `json:"granularity"`
	Discovery      string  `json:"discovery"`
	Weights        string  `json:"weights"`
	OverageRevenue float64 `json:"overageRevenue"`
	Extra          struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"extra"`
	Dcs    []string `json:"dcs"`
	Skus   []string `json:"skus"`
	Limits struct {
		ConnIdle       float64 `json:"connIdle"`
		ConnectTimeout float64 `json:"connectTimeout"`
		MaxRetryAfter  float64 `json:"maxRetryAfter"`
		MostHops       int     `json:"mostHops"`
		RetryAfter     bool    `json:"retryAfter"`
		SecondCopies   bool    `json:"secondCopies"`
	} `json:"limits"`
	Rules struct {
		AskWithin         float64         `json:"askWithin"`
		Cold              float64         `json:"cold"`
		FallMultiple      float64         `json:"fallMultiple"`
		StartCapacity     float64         `json:"startCapacity"`
		StopSendingWithin *float64        `json:"stopSendingWithin"`
		OnlyDrainingBinds bool            `json:"onlyDrainingBinds"`
		DrainClose        json.RawMessage `json:"drainClose"`
	} `json:"rules"`
	Tenants []struct {
		Name          string  `json:"name"`
		AllowancePerS float64 `json:"allowancePerS"`
	} `json:"tenants"`
	TrafficTypes []trafficType `json:"trafficTypes"`
}

// trafficType is the platform's JSON form of a traffic type. All times are in milliseconds.
type trafficType struct {
	Name         string          `json:"name"`
	Idempotency  string          `json:"idempotency"`
	KeyScope     string          `json:"keyScope"`
	TargetTime   float64         `json:"targetTime"`
	AbandonTime  float64         `json:"abandonTime"`
	Window       float64         `json:"window"`
	Revenue      float64         `json:"revenue"`
	TardyRevenue float64         `json:"tardyRevenue"`
	DcsOnly      json.RawMessage `json:"dcsOnly"`
	AllowedOn    json.RawMessage `json:"allowedOn"`
}

// policySettings maps the scalar settings to the terms of the policy.
func (raw *object) policySettings() policy.Settings {
	return policy.Settings{
		NodeCount:                max(raw.GroupSize, 1),
		NodeIndex:                max(raw.Me, 0),
		Zone:                     raw.Zone,
		TimerGranularity:         FromMillis(raw.Granularity),
		OverQuotaWeightShare:     raw.OverageRevenue,
		MustRequestEndpoints:     raw.Discovery == "on_request",
		WeightsFollowLoad:        raw.Weights == "live",
		MaxAttempts:              raw.Limits.MostHops,
		HedgingAllowed:           raw.Limits.SecondCopies,
		ServersCacheKeys:         raw.Extra.WarmKeys,
		ConnectTimeout:           FromMillis(raw.Limits.ConnectTimeout),
		RequestEndpointsWithin:   FromMillis(raw.Rules.AskWithin),
		SlowStartDuration:        FromMillis(raw.Rules.Cold),
		SlowStartInitialCapacity: raw.Rules.StartCapacity,
		CrashLoadFactor:          raw.Rules.FallMultiple,
		UnlistedUsable:           raw.Rules.OnlyDrainingBinds,
	}
}

// decode maps the traffic type at index i of the list to the terms of the policy.
func (t *trafficType) decode(i int) (policy.TrafficType, error) {
	decoded := policy.TrafficType{
		LatencyObjective: FromMillis(t.TargetTime),
		ClientTimeout:    FromMillis(t.AbandonTime),
		KeyRetention:     FromMillis(t.Window),
		PriorityWeight:   t.Revenue,
		LateWeightShare:  t.TardyRevenue,
	}
	if decoded.LatencyObjective <= 0 {
		return decoded, fmt.Errorf("traffic type %d: targetTime must be above 0 ms", i)
	}
	if t.TardyRevenue < 0 || t.TardyRevenue > 1 {
		return decoded, fmt.Errorf("traffic type %d: tardyRevenue is %g: expected a share of the revenue from 0 to 1", i, t.TardyRevenue)
	}
	switch t.Idempotency {
	case "safe":
		decoded.Idempotency = policy.Idempotent
	case "keyed":
		decoded.Idempotency = policy.IdempotentWithKey
	case "unsafe":
		decoded.Idempotency = policy.NonIdempotent
	default:
		return decoded, fmt.Errorf("traffic type %d: unknown idempotency %q", i, t.Idempotency)
	}
	switch t.KeyScope {
	case "all", "":
		decoded.KeyScope = policy.KeyScopeAll
	case "zone":
		decoded.KeyScope = policy.KeyScopeZone
	case "cell":
		decoded.KeyScope = policy.KeyScopeCell
	default:
		return decoded, fmt.Errorf("traffic type %d: unknown keyScope %q", i, t.KeyScope)
	}
	return decoded, nil
}
