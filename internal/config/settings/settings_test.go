package settings

import (
	"reflect"
	"strings"
	"testing"
)

const plain = `{"groupSize":3,"limits":{"mostHops":2},"trafficTypes":[{"name":"a","targetTime":200,"idempotency":"safe","revenue":2}]}`

// TestDefaults checks that an absent key and its default decode to equal settings. An instance depends only on its settings
// and a seed, so its effects are equal too.
func TestDefaults(t *testing.T) {
	for name, text := range map[string]string{
		"tardyRevenue":      strings.Replace(plain, `"revenue":2`, `"revenue":2,"tardyRevenue":0`, 1),
		"warmKeys":          strings.Replace(plain, `"groupSize"`, `"extra":{"warmKeys":false},"groupSize"`, 1),
		"onlyDrainingBinds": strings.Replace(plain, `"groupSize"`, `"rules":{"onlyDrainingBinds":false},"groupSize"`, 1),
		"empty extra":       strings.Replace(plain, `"groupSize"`, `"extra":{},"groupSize"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			want, err := Decode([]byte(plain))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := Decode([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, error %v", got, err)
			}
		})
	}
}

func TestDecodeErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"tardyRevenue above 1":          {`"revenue":2`, `"tardyRevenue":1.5`, "traffic type 0: tardyRevenue is 1.5"},
		"tardyRevenue below 0":          {`"revenue":2`, `"tardyRevenue":-0.1`, "tardyRevenue is -0.1"},
		"tardyRevenue as a string":      {`"revenue":2`, `"tardyRevenue":"half"`, "trafficTypes.tardyRevenue"},
		"warmKeys as a number":          {`"groupSize"`, `"extra":{"warmKeys":1},"groupSize"`, "extra.warmKeys"},
		"extra as a list":               {`"groupSize"`, `"extra":[],"groupSize"`, "object.extra"},
		"onlyDrainingBinds as a string": {`"groupSize"`, `"rules":{"onlyDrainingBinds":"yes"},"groupSize"`, "rules.onlyDrainingBinds"},
		"no attempt":                    {`"mostHops":2`, `"mostHops":0`, "no attempt"},
		"no target time":                {`200`, `0`, "targetTime must be above 0"},
		"unknown idempotency":           {`"safe"`, `"odd"`, `"odd"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(plain, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v", err)
			}
		})
	}
}

func TestCheckCompatible(t *testing.T) {
	nodeSettings := Settings{TypeNames: []string{"a"}, TenantNames: []string{"t"}}
	for name, c := range map[string]struct {
		types, tenants []string
		isCompatible   bool
	}{
		"the same":           {[]string{"a"}, []string{"t"}, true},
		"another type":       {[]string{"b"}, []string{"t"}, false},
		"an additional type": {[]string{"a", "b"}, []string{"t"}, false},
		"another tenant":     {[]string{"a"}, []string{"u"}, false},
		"no tenants":         {[]string{"a"}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := nodeSettings.CheckCompatible(&Settings{TypeNames: c.types, TenantNames: c.tenants}); (err == nil) != c.isCompatible {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// TestCheckCompatiblePlacements checks that settings with placements must define the same zones and machine kinds.
func TestCheckCompatiblePlacements(t *testing.T) {
	nodeSettings, err := Decode([]byte(settingsWith("", "")))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text         string
		isCompatible bool
	}{
		"bound to a known zone":    {settingsWith(`,"dcsOnly":["south"]`, ""), true},
		"bound to a kind by index": {settingsWith(`,"allowedOn":[1]`, ""), true},
		"bound to an unknown zone": {settingsWith(`,"dcsOnly":["west"]`, ""), false},
		"bound to an unknown kind": {settingsWith(`,"allowedOn":["huge"]`, ""), false},
		"zones in another order":   {strings.Replace(settingsWith(`,"dcsOnly":[0]`, ""), `"north","south"`, `"south","north"`, 1), false},
		"the same, but not bound":  {strings.Replace(settingsWith("", ""), `"north","south"`, `"south","north"`, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			other, err := Decode([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if err := nodeSettings.CheckCompatible(&other); (err == nil) != c.isCompatible || err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v", err)
			}
		})
	}
}
