package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"fernvane/policy"
)

// settingsWith returns the plain settings with zones, machine kinds, further keys of the traffic type, and rules.
func settingsWith(typeKeys, rules string) string {
	text := strings.Replace(plain, `"revenue":2`, `"revenue":2`+typeKeys, 1)
	return strings.Replace(text, `"groupSize"`, `"dcs":["north","south"],"skus":["small","large"],"rules":{`+rules+`},"groupSize"`, 1)
}

func TestPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		typeKeys string
		bit      uint64
		want     []policy.Placement
		zones    []string
	}{
		"absent, any server":      {"", 0, nil, []string{"north", "south"}},
		"zones by index":          {`,"dcsOnly":[1,0,1]`, 1, []policy.Placement{{Zones: []int{0, 1}}}, []string{"north", "south"}},
		"kinds by index":          {`,"allowedOn":[1]`, 1, []policy.Placement{{MachineKinds: []int{1}}}, []string{"north", "south"}},
		"both":                    {`,"dcsOnly":[0],"allowedOn":[1]`, 1, []policy.Placement{{Zones: []int{0}, MachineKinds: []int{1}}}, []string{"north", "south"}},
		"zones by name":           {`,"dcsOnly":["south"]`, 1, []policy.Placement{{Zones: []int{1}}}, []string{"north", "south"}},
		"a new name":              {`,"dcsOnly":["west"]`, 1, []policy.Placement{{Zones: []int{2}}}, []string{"north", "south", "west"}},
		"an index without a name": {`,"dcsOnly":[7]`, 1, []policy.Placement{{Zones: []int{7}}}, []string{"north", "south"}},
		"empty list":              {`,"dcsOnly":[]`, 1, []policy.Placement{{Zones: []int{}}}, []string{"north", "south"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Decode([]byte(settingsWith(c.typeKeys, "")))
			if err != nil {
				t.Fatal(err)
			}
			if s.TrafficTypes[0].PlacementBit != c.bit || !reflect.DeepEqual(s.Placements, c.want) || !reflect.DeepEqual(s.Zones, c.zones) {
				t.Errorf("got bit %d of placements %+v, zones %q", s.TrafficTypes[0].PlacementBit, s.Placements, s.Zones)
			}
		})
	}
}

// TestPlacementsAreShared checks that types with equal placements share a bit, and that the number of bits is bounded.
func TestPlacementsAreShared(t *testing.T) {
	one := `{"name":"a","targetTime":200,"idempotency":"safe","revenue":2,"dcsOnly":[N]}`
	types := func(numbers string) string {
		var all []string
		for _, n := range strings.Fields(numbers) {
			all = append(all, strings.Replace(one, "N", n, 1))
		}
		return `{"limits":{"mostHops":2},"trafficTypes":[` + strings.Join(all, ",") + `]}`
	}
	s, err := Decode([]byte(types("4 5 4")))
	if err != nil || s.TrafficTypes[0].PlacementBit != 1 || s.TrafficTypes[1].PlacementBit != 2 || s.TrafficTypes[2].PlacementBit != 1 || len(s.Placements) != 2 {
		t.Errorf("got %+v, error %v", s.TrafficTypes, err)
	}
	many := "0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25 26 27 28 29 30 31"
	if s, err = Decode([]byte(types(many))); err != nil || len(s.Placements) != policy.MaxPlacements {
		t.Errorf("got %d placements, error %v", len(s.Placements), err)
	}
	if _, err = Decode([]byte(types(many + " 32"))); err == nil || !strings.Contains(err.Error(), "32 different placements") {
		t.Errorf("one placement too many: got error %v", err)
	}
}

func TestDrainClose(t *testing.T) {
	for name, c := range map[string]struct {
		rules  string
		closes bool
		within time.Duration
	}{
		"absent":      {"", false, 0},
		"given":       {`"drainClose":300.5`, true, 300500 * time.Microsecond},
		"0":           {`"drainClose":0`, true, 0},
		"other rules": {`"stopSendingWithin":100`, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Decode([]byte(settingsWith("", c.rules)))
			if err != nil || s.CloseOnDrain != c.closes || s.DrainCloseTimeout != c.within {
				t.Errorf("got %v, %s, error %v", s.CloseOnDrain, s.DrainCloseTimeout, err)
			}
		})
	}
}

func TestInvalidPlacement(t *testing.T) {
	for name, c := range map[string]struct{ typeKeys, rules, want string }{
		"zones as a string":     {`,"dcsOnly":"north"`, "", "traffic type 0: dcsOnly"},
		"zones as a number":     {`,"dcsOnly":1`, "", "traffic type 0: dcsOnly"},
		"zones as null":         {`,"dcsOnly":null`, "", "traffic type 0: dcsOnly"},
		"an index below 0":      {`,"dcsOnly":[-1]`, "", "traffic type 0: dcsOnly"},
		"a fractional index":    {`,"dcsOnly":[0.5]`, "", "traffic type 0: dcsOnly"},
		"an index above 2^31-1": {`,"dcsOnly":[2147483648]`, "", "traffic type 0: dcsOnly"},
		"a zone as null":        {`,"dcsOnly":[null]`, "", "traffic type 0: dcsOnly"},
		"a zone as a list":      {`,"dcsOnly":[[0]]`, "", "traffic type 0: dcsOnly"},
		"kinds as true":         {`,"allowedOn":true`, "", "traffic type 0: allowedOn"},
		"kinds as an object":    {`,"allowedOn":{}`, "", "traffic type 0: allowedOn"},
		"a kind as an object":   {`,"allowedOn":[{}]`, "", "traffic type 0: allowedOn"},
		"a time below 0":        {"", `"drainClose":-1`, "rules.drainClose is -1"},
		"a time as a string":    {"", `"drainClose":"300"`, "rules.drainClose is"},
		"a time as a list":      {"", `"drainClose":[300]`, "rules.drainClose is"},
		"a time as null":        {"", `"drainClose":null`, "rules.drainClose is \"null\""},
		"a time as true":        {"", `"drainClose":true`, "rules.drainClose is \"true\""},
		"a time on two lines":   {"", "\"drainClose\":[\n300]", "rules.drainClose is"},
		"a time out of range":   {"", `"drainClose":1e999`, "rules.drainClose is"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(settingsWith(c.typeKeys, c.rules)))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v", err)
			}
		})
	}
}

func TestLiveWeights(t *testing.T) {
	for weights, live := range map[string]bool{"live": true, "nominal": false, "rough": false, "none": false} {
		t.Run(weights, func(t *testing.T) {
			s, err := Decode([]byte(strings.Replace(plain, `"groupSize"`, `"weights":"`+weights+`","groupSize"`, 1)))
			if err != nil || s.WeightsFollowLoad != live {
				t.Errorf("got %v, error %v", s.WeightsFollowLoad, err)
			}
		})
	}
}
