package route

import (
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/config/tomlfile"
	"fernvane/policy"
)

const (
	maxStatedTime     = 24 * time.Hour // above any duration in a file
	maxStatedAttempts = 1000           // above any number of attempts in a file
)

// UncheckedNotice describes what a check against LoosestSettings does not cover. `fernvane check` prints it.
const UncheckedNotice = "traffic types, tenants and sites of the file are assumed to exist; the check does not cover whether the settings define them, allow " +
	"the durations, attempts and hedged requests of the file, and allow retries of its traffic types"

// LoosestSettings returns the least restrictive settings that the operator's file at path can be checked against: they
// define every traffic type, tenant and site that the file names, all types are idempotent, and all bounds are above the
// values of the file. A file that has faults under these settings has faults under any settings. The error is that of
// reading or parsing the file.
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
	addType := func(name string) {
		if name != "" && name != "*" && name != "**" && !seen["type "+name] {
			seen["type "+name] = true
			s.TypeNames = append(s.TypeNames, name)
			s.TrafficTypes = append(s.TrafficTypes, policy.TrafficType{LatencyObjective: maxStatedTime, ClientTimeout: maxStatedTime, PriorityWeight: 1})
		}
	}
	addNames := func(prefix string, names *[]string, added []string) {
		for _, name := range added {
			if !seen[prefix+name] {
				seen[prefix+name] = true
				*names = append(*names, name)
			}
		}
	}
	for name := range file.Class {
		addType(name)
	}
	addShares := func(limits *Limits) {
		for name := range limits.Tenants {
			if name != otherTenants {
				addNames("tenant ", &s.TenantNames, []string{name})
			}
		}
	}
	addShares(&file.Defaults)
	for _, limits := range file.Class {
		addShares(&limits)
	}
	addNames("site ", &s.Zones, file.FastCGI.Sites)
	for _, pool := range file.Pools {
		addNames("site ", &s.Zones, pool.Sites)
	}
	for i := range file.Routes {
		r := &file.Routes[i]
		addType(r.Type)
		addType(r.Class)
		if segments := pathSegments(r.Path); r.Class == "" && len(r.Path) > 0 && r.Path[0] == '/' && len(segments) > 0 {
			addType(segments[0])
		}
		addNames("tenant ", &s.TenantNames, r.Tenants)
		addShares(&r.Limits)
	}
	s.TenantQuotas = make([]float64, len(s.TenantNames))
	if len(s.TrafficTypes) == 0 { // the file has only limits for all traffic types
		addType("any")
	}
	return s, nil
}
