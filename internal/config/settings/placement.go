package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"time"

	"fernvane/policy"
)

// decodeDrainClose decodes the time within which idle connections to a draining server are closed.
func decodeDrainClose(raw json.RawMessage) (time.Duration, error) {
	var ms *float64
	if err := json.Unmarshal(raw, &ms); err != nil || ms == nil {
		return 0, fmt.Errorf("rules.drainClose is %.40q: expected a time in ms", raw)
	}
	if *ms < 0 {
		return 0, fmt.Errorf("rules.drainClose is %g ms: expected 0 ms or more", *ms)
	}
	return FromMillis(*ms), nil
}

// addPlacement decodes the placement of the traffic type at index i and returns the bit of the placement, or 0 if the type
// may be sent to any server. Types with equal placements share a bit.
func (s *Settings) addPlacement(i int, t *trafficType) (uint64, error) {
	if t.DcsOnly == nil && t.AllowedOn == nil {
		return 0, nil
	}
	zones, err := decodeIndexes(t.DcsOnly, &s.Zones)
	if err != nil {
		return 0, fmt.Errorf("traffic type %d: dcsOnly %w", i, err)
	}
	kinds, err := decodeIndexes(t.AllowedOn, &s.MachineKinds)
	if err != nil {
		return 0, fmt.Errorf("traffic type %d: allowedOn %w", i, err)
	}
	placement := policy.Placement{Zones: zones, MachineKinds: kinds}
	index := slices.IndexFunc(s.Placements, func(p policy.Placement) bool { return reflect.DeepEqual(p, placement) })
	if index < 0 {
		index = len(s.Placements)
		s.Placements = append(s.Placements, placement)
	}
	if index >= policy.MaxPlacements {
		return 0, fmt.Errorf("traffic type %d: dcsOnly and allowedOn define more than %d different placements", i, policy.MaxPlacements)
	}
	return 1 << index, nil
}

var errIndexList = errors.New("must be a list of names and of indexes from 0 to 2147483647")

// decodeIndexes decodes a list of zones or machine kinds, each an index into names or a name, to sorted indexes without
// duplicates. A name that is not in names is added, because a server that is listed later may have it. The result is nil for an
// absent list, which allows all values, but not for an empty list, which allows none.
func decodeIndexes(raw json.RawMessage, names *[]string) ([]int, error) {
	if raw == nil {
		return nil, nil
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil || entries == nil {
		return nil, errIndexList
	}
	indexes := make([]int, 0, len(entries))
	for _, entry := range entries {
		var number *int
		var name *string
		switch {
		case json.Unmarshal(entry, &number) == nil && number != nil && *number >= 0 && *number <= math.MaxInt32:
			indexes = append(indexes, *number)
		case json.Unmarshal(entry, &name) == nil && name != nil:
			indexes = append(indexes, indexOf(*name, names))
		default:
			return nil, errIndexList
		}
	}
	slices.Sort(indexes)
	return slices.Compact(indexes), nil
}

// indexOf returns the index of name in names. A new name is appended to a copy of names.
func indexOf(name string, names *[]string) int {
	if index := slices.Index(*names, name); index >= 0 {
		return index
	}
	*names = append(slices.Clone(*names), name)
	return len(*names) - 1
}
