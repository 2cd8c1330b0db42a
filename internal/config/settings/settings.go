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

// Settings are the policy's settings, and those that only a node on sockets needs.
type Settings struct {
	policy.Settings
	TypeNames   []string
	TenantNames []string
	Zones       []string      // names by index: those of the settings, then others that placements name
	Kinds       []string      // kinds of machine, likewise
	ConnIdle    time.Duration // an idle connection is closed after this at the latest
	DrainGrace  time.Duration // from the drain notice: attempts decided before it may still be sent for this long; below 0: not set
}

// CheckCompatible reports why other cannot run in shadow beside these settings: both must name the same traffic types and
// tenants and, where other has placements, the same zones and kinds of machine, for servers carry these by their index
// here. A nil error means that it can.
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

// FromMillis converts milliseconds to a duration, rounded to a nanosecond.
func FromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// Decode reads the platform's JSON form. The error, in one line, is the first thing that makes the settings unusable.
func Decode(text []byte) (Settings, error) {
	var raw object
	if err := json.Unmarshal(text, &raw); err != nil {
		return Settings{}, fmt.Errorf("settings cannot be read: %v", err)
	}
	s := Settings{Zones: raw.Dcs, Kinds: raw.Skus, ConnIdle: FromMillis(raw.Limits.ConnIdle), DrainGrace: -1}
	if raw.Rules.StopSendingWithin != nil {
		s.DrainGrace = max(FromMillis(*raw.Rules.StopSendingWithin), 0)
	}
	s.Settings = raw.policySettings()
	if raw.Rules.DrainClose != nil {
		within, err := decodeDrainClose(raw.Rules.DrainClose)
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
		return s, errors.New("settings allow no attempt")
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
		if decoded.PlacementBit, err = s.addPlacement(i, &t); err != nil {
			return s, err
		}
		s.TypeNames = append(s.TypeNames, t.Name)
		s.TrafficTypes = append(s.TrafficTypes, decoded)
	}
	return s, nil
}
