package route

import (
	"fernvane/policy"
)

// checkClass records a fault if a route assigns a traffic type to requests whose path names another type, and requests of the
// assigned type may be repeated where those of the named type may not.
func (c *checker) checkClass(i, assigned int, path []string) {
	for named := range c.settings.TrafficTypes {
		if !c.canMatchType(path, named) || c.hasRouteForAll(named) && isWildcard(path[0]) {
			continue
		}
		if !allowsNoMoreRepeats(&c.settings.TrafficTypes[assigned], &c.settings.TrafficTypes[named]) {
			c.AddFault(at(i, "class"), "route %q assigns type %s to requests of type %s, which would be repeated although they may have run; "+
				"a route with type = %q takes them out", c.file.Routes[i].Name, c.settings.TypeNames[assigned], c.settings.TypeNames[named], c.settings.TypeNames[named])
		}
	}
}

func isWildcard(segment string) bool { return segment == anySegment || segment == anyRest }

// canMatchType reports whether a path can match requests of a traffic type, which their first segment names.
func (c *checker) canMatchType(path []string, trafficType int) bool {
	return isWildcard(path[0]) || path[0] == c.settings.TypeNames[trafficType]
}

// hasRouteForAll reports whether a route of the file matches every request of a traffic type, so that no such request matches a route whose
// first segment is a wildcard. Such a route is checked itself if it assigns a class.
func (c *checker) hasRouteForAll(trafficType int) bool {
	name := c.settings.TypeNames[trafficType]
	for i := range c.file.Routes {
		r := &c.file.Routes[i]
		matchesAnyRequest := len(r.Methods)+len(r.Tenants)+len(r.Headers) == 0
		isOfType := r.Path == "/"+name+"/"+anyRest || r.Type == name && (r.Path == "" || r.Path == "/"+anyRest)
		if matchesAnyRequest && isOfType {
			return true
		}
	}
	return false
}

// allowsNoMoreRepeats reports whether requests of the traffic type assigned are repeated only where those of the type named may be.
func allowsNoMoreRepeats(assigned, named *policy.TrafficType) bool {
	switch {
	case assigned.Idempotency == policy.NonIdempotent, named.Idempotency == policy.Idempotent:
		return true
	case assigned.Idempotency == policy.Idempotent, named.Idempotency == policy.NonIdempotent:
		return false
	}
	isScopeWithin := assigned.KeyScope == named.KeyScope || named.KeyScope == policy.KeyScopeAll
	return isScopeWithin && assigned.KeyRetention <= named.KeyRetention
}
