package settings

import (
	"reflect"
	"strings"
	"testing"
)

const plain = `{"groupSize":3,"limits":{"mostHops":2},"trafficTypes":[{"name":"a","targetTime":200,"idempotency":"safe","revenue":2}]}`

// Left out, a new key is its default; an instance of the module starts from these settings and a seed alone, so its effects are
// the same too.
func TestDefaults(t *testing.T) {
	for name, text := range map[string]string{
		"late revenue": strings.Replace(plain, `"revenue":2`, `"revenue":2,"tardyRevenue":0`, 1),
		"warm keys":    strings.Replace(plain, `"groupSize"`, `"extra":{"warmKeys":false},"groupSize"`, 1),
		"all bind":     strings.Replace(plain, `"groupSize"`, `"rules":{"onlyDrainingBinds":false},"groupSize"`, 1),
		"no extras":    strings.Replace(plain, `"groupSize"`, `"extra":{},"groupSize"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			want, err := Decode([]byte(plain))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := Decode([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}

func TestDecodeErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, new, says string }{
		"late revenue above all": {`"revenue":2`, `"tardyRevenue":1.5`, "traffic type 0: tardyRevenue is 1.5"},
		"late revenue below 0":   {`"revenue":2`, `"tardyRevenue":-0.1`, "tardyRevenue is -0.1"},
		"late revenue in words":  {`"revenue":2`, `"tardyRevenue":"half"`, "trafficTypes.tardyRevenue"},
		"warm keys as a number":  {`"groupSize"`, `"extra":{"warmKeys":1},"groupSize"`, "extra.warmKeys"},
		"extras as a list":       {`"groupSize"`, `"extra":[],"groupSize"`, "object.extra"},
		"what binds, as a word":  {`"groupSize"`, `"rules":{"onlyDrainingBinds":"yes"},"groupSize"`, "rules.onlyDrainingBinds"},
		"no attempt":             {`"mostHops":2`, `"mostHops":0`, "no attempt"},
		"no target time":         {`200`, `0`, "target time"},
		"another repeat":         {`"safe"`, `"odd"`, `"odd"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(plain, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
				t.Errorf("said %v", err)
			}
		})
	}
}

func TestCheckCompatible(t *testing.T) {
	own := Settings{TypeNames: []string{"a"}, TenantNames: []string{"t"}}
	for name, c := range map[string]struct {
		types, tenants []string
		fits           bool
	}{
		"the same":       {[]string{"a"}, []string{"t"}, true},
		"another type":   {[]string{"b"}, []string{"t"}, false},
		"a type more":    {[]string{"a", "b"}, []string{"t"}, false},
		"another tenant": {[]string{"a"}, []string{"u"}, false},
		"no tenants":     {[]string{"a"}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := own.CheckCompatible(&Settings{TypeNames: c.types, TenantNames: c.tenants}); (err == nil) != c.fits {
				t.Errorf("said %v", err)
			}
		})
	}
}

// Zones and kinds must be the same where types are bound to them.
func TestFitsPlacements(t *testing.T) {
	own, err := Decode([]byte(with("", "")))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		text string
		fits bool
	}{
		"bound to a zone of both": {with(`,"dcsOnly":["south"]`, ""), true},
		"bound by a place":        {with(`,"allowedOn":[1]`, ""), true},
		"bound to another zone":   {with(`,"dcsOnly":["west"]`, ""), false},
		"bound to another kind":   {with(`,"allowedOn":["huge"]`, ""), false},
		"zones in another order":  {strings.Replace(with(`,"dcsOnly":[0]`, ""), `"north","south"`, `"south","north"`, 1), false},
		"the same, but not bound": {strings.Replace(with("", ""), `"north","south"`, `"south","north"`, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			other, err := Decode([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if err := own.CheckCompatible(&other); (err == nil) != c.fits || err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("said %v", err)
			}
		})
	}
}
