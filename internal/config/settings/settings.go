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

// Settings are the settings of the policy, and further settings that only a node uses because it serves connections.
type Settings struct {
	policy.Settings
	TypeNames    []string
	TenantNames  []string
	Zones        []string      // names by index: zones of the settings, then further zones that placements name
	MachineKinds []string      // names by index: machine kinds of the settings, then further kinds that placements name
	ConnIdle     time.Duration // maximum time that a connection stays idle before it is closed
	DrainGrace   time.Duration // time after a drain notice in which attempts that were decided before it may still be sent; below 0: not set
}

// CheckCompatible returns an error if other cannot be used as shadow settings of these settings. Both must define the same
// traffic types and tenants. If other has placements, both must also define the same zones and machine kinds, because
// servers refer to zones and kinds by their index in these settings.
func (s *Settings) CheckCompatible(other *Settings) error {
	if !slices.Equal(s.TypeNames, other.TypeNames) {
		return fmt.Errorf("settings define traffic types %q, node uses %q: both must be equal", other.TypeNames, s.TypeNames)
	}
	if !slices.Equal(s.TenantNames, other.TenantNames) {
		return fmt.Errorf("settings define tenants %q, node uses %q: both must be equal", other.TenantNames, s.TenantNames)
	}
	if len(other.Placements) > 0 && !(slices.Equal(s.Zones, other.Zones) && slices.Equal(s.MachineKinds, other.MachineKinds)) {
		return fmt.Errorf("settings with placements define zones %q and machine kinds %q, node uses %q and %q: both must be equal",
			other.Zones, other.MachineKinds, s.Zones, s.MachineKinds)
	}
	return nil
}

// FromMillis converts milliseconds to a duration, rounded to the nearest nanosecond.
func FromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// Decode decodes the platform's JSON form of the settings. The error describes the first fault, in one line.
func Decode(text []byte) (Settings, error) {
	var raw object
	if err := json.Unmarshal(text, &raw); err != nil {
		return Settings{}, fmt.Errorf("settings cannot be read: %v", err)
	}
	s := Settings{Zones: raw.Dcs, MachineKinds: raw.Skus, ConnIdle: FromMillis(raw.Limits.ConnIdle), DrainGrace: -1}
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
		return s, errors.New("settings allow no attempt: limits.mostHops must be 1 or more")
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
