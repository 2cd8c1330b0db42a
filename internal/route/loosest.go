package route

import (
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/config/tomlfile"
	"fernvane/policy"
)

const (
	maxStatedTime     = 24 * time.Hour // above any time that a file may state
	maxStatedAttempts = 1000
)

// UncheckedNotice names what a check under LoosestSettings leaves out; `fernvane check` prints it.
const UncheckedNotice = "traffic types, tenants and sites are taken as the file names them; whether the settings have them, allow its times, attempts " +
	"and hedged requests, and which types may run again is left unchecked"

// LoosestSettings returns the loosest settings that the operator's file at path can be checked against: every traffic
// type, tenant and site that it names, all types idempotent, limits above any. A file that is at fault under these is at
// fault under all settings. The error is of reading or parsing the file.
func LoosestSettings(path string) (*settings.Settings, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	var file File
	if _, err := tomlfile.Parse(path, text, &file); err != nil {
		return nil, err
	}
	s := &settings.Settings{Settings: policy.Settings{NodeCount: 1, MaxAttempts: maxStatedAttempts, HedgingAllowed: true}}
	seen := map[string]bool{}
	kind := func(name string) {
		if name != "" && name != "*" && name != "**" && !seen["type "+name] {
			seen["type "+name] = true
			s.TypeNames = append(s.TypeNames, name)
			s.TrafficTypes = append(s.TrafficTypes, policy.TrafficType{LatencyObjective: maxStatedTime, ClientTimeout: maxStatedTime, PriorityWeight: 1})
		}
	}
	each := func(what string, into *[]string, names []string) {
		for _, n := range names {
			if !seen[what+n] {
				seen[what+n] = true
				*into = append(*into, n)
			}
		}
	}
	for name := range file.Class {
		kind(name)
	}
	shares := func(l *Limits) {
		for name := range l.Tenants {
			if name != otherTenants {
				each("tenant ", &s.TenantNames, []string{name})
			}
		}
	}
	shares(&file.Defaults)
	for _, l := range file.Class {
		shares(&l)
	}
	each("site ", &s.Zones, file.FastCGI.Sites)
	for _, p := range file.Pools {
		each("site ", &s.Zones, p.Sites)
	}
	for i := range file.Routes {
		r := &file.Routes[i]
		kind(r.Type)
		kind(r.Class)
		if p := pathSegments(r.Path); r.Class == "" && len(r.Path) > 0 && r.Path[0] == '/' && len(p) > 0 {
			kind(p[0])
		}
		each("tenant ", &s.TenantNames, r.Tenants)
		shares(&r.Limits)
	}
	s.TenantQuotas = make([]float64, len(s.TenantNames))
	if len(s.TrafficTypes) == 0 { // only limits for all
		kind("any")
	}
	return s, nil
}
