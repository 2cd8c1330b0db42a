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

// drainClose reads the time within which idle connections to a draining server are closed.
func drainClose(text json.RawMessage) (time.Duration, error) {
	var ms *float64
	if err := json.Unmarshal(text, &ms); err != nil || ms == nil {
		return 0, fmt.Errorf("rules.drainClose is %.40q, a time in milliseconds is wanted", text)
	}
	if *ms < 0 {
		return 0, fmt.Errorf("rules.drainClose is %g, a time of 0 ms or more is wanted", *ms)
	}
	return FromMillis(*ms), nil
}

// place reads where the traffic type at a place of the list may be sent, and returns the bit of that placement. Types
// that are bound alike share one.
func (s *Settings) place(i int, t *trafficType) (uint64, error) {
	if t.DcsOnly == nil && t.AllowedOn == nil {
		return 0, nil
	}
	zones, err := s.listed(t.DcsOnly, &s.Zones)
	if err != nil {
		return 0, fmt.Errorf("traffic type %d: dcsOnly %w", i, err)
	}
	kinds, err := s.listed(t.AllowedOn, &s.Kinds)
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

var errPlaceList = errors.New("is no list of places in the settings' list, from 0, or of names")

// listed reads a list of zones or kinds: each by its place in the names of the settings, or by its name. A name that the
// settings do not hold is added to them, for a server may yet bear it. No list at all is nil, an empty one is not.
func (s *Settings) listed(text json.RawMessage, names *[]string) ([]int, error) {
	if text == nil {
		return nil, nil
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(text, &entries); err != nil || entries == nil {
		return nil, errPlaceList
	}
	places := make([]int, 0, len(entries))
	for _, entry := range entries {
		var number *int
		var name *string
		switch {
		case json.Unmarshal(entry, &number) == nil && number != nil && *number >= 0 && *number <= math.MaxInt32:
			places = append(places, *number)
		case json.Unmarshal(entry, &name) == nil && name != nil:
			places = append(places, placeOf(*name, names))
		default:
			return nil, errPlaceList
		}
	}
	slices.Sort(places)
	return slices.Compact(places), nil
}

func placeOf(name string, names *[]string) int {
	if at := slices.Index(*names, name); at >= 0 {
		return at
	}
	*names = append(slices.Clone(*names), name)
	return len(*names) - 1
}
