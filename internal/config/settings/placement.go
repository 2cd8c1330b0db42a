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

// decodeDrainClose reads the time within which idle connections to a draining server are closed.
func decodeDrainClose(text json.RawMessage) (time.Duration, error) {
	var ms *float64
	if err := json.Unmarshal(text, &ms); err != nil || ms == nil {
		return 0, fmt.Errorf("rules.drainClose is %.40q, a time in milliseconds is wanted", text)
	}
	if *ms < 0 {
		return 0, fmt.Errorf("rules.drainClose is %g, a time of 0 ms or more is wanted", *ms)
	}
	return FromMillis(*ms), nil
}

// addPlacement decodes where the traffic type at index i may be sent, and returns the bit of that placement, 0 for
// anywhere. Types with the same placement share one.
func (s *Settings) addPlacement(i int, t *trafficType) (uint64, error) {
	if t.DcsOnly == nil && t.AllowedOn == nil {
		return 0, nil
	}
	zones, err := decodeIndexes(t.DcsOnly, &s.Zones)
	if err != nil {
		return 0, fmt.Errorf("traffic type %d: dcsOnly %w", i, err)
	}
	kinds, err := decodeIndexes(t.AllowedOn, &s.Kinds)
	if err != nil {
		return 0, fmt.Errorf("traffic type %d: allowedOn %w", i, err)
	}
	placement := policy.Placement{Zones: zones, MachineKinds: kinds}
	at := slices.IndexFunc(s.Placements, func(p policy.Placement) bool { return reflect.DeepEqual(p, placement) })
	if at < 0 {
		at = len(s.Placements)
		s.Placements = append(s.Placements, placement)
	}
	if at >= policy.MaxPlacements {
		return 0, fmt.Errorf("traffic type %d: dcsOnly and allowedOn bind types in more than %d different ways", i, policy.MaxPlacements)
	}
	return 1 << at, nil
}

var errIndexList = errors.New("must be a list of indexes (from 0) or of names")

// decodeIndexes reads a list of zones or kinds, each an index into names or a name. A name that is new is added to names,
// for a server may yet carry it. An absent list is nil, an empty one is not.
func decodeIndexes(text json.RawMessage, names *[]string) ([]int, error) {
	if text == nil {
		return nil, nil
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(text, &entries); err != nil || entries == nil {
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

// indexOf returns the index of name, which it appends to a copy of names where it is new.
func indexOf(name string, names *[]string) int {
	if at := slices.Index(*names, name); at >= 0 {
		return at
	}
	*names = append(slices.Clone(*names), name)
	return len(*names) - 1
}
