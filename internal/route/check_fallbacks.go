package route

import (
	"cmp"
	"fmt"
	"strings"
)

// checkFallbacks links each route to its fallback, and records fallbacks that do not exist, that do not serve a traffic
// type of the route, or that form a cycle.
func (c *checker) checkFallbacks(table *Table) {
	for i := range table.Routes {
		c.fragments.selectRoute(i)
		name := c.fallback(i)
		if name == "" {
			continue
		}
		target, ok := c.routes[name]
		if !ok {
			c.AddFault(c.fallbackKey(i), "route %q falls back to %q, which does not exist", table.Routes[i].Name, name)
			continue
		}
		table.Routes[i].fallback = target
		for trafficType, profile := range table.Routes[i].profileByType {
			if profile >= 0 && target != i && table.Routes[target].profileByType[trafficType] < 0 {
				c.AddFault(c.fallbackKey(i), "route %q falls back to %q, which does not serve type %s", table.Routes[i].Name, name, c.settings.TypeNames[trafficType])
				break
			}
		}
	}
	for i := range table.Routes {
		c.fragments.selectRoute(i)
		seen := []string{table.Routes[i].Name}
		for next := table.Routes[i].fallback; next >= 0; next = table.Routes[next].fallback {
			seen = append(seen, table.Routes[next].Name)
			if next == i {
				c.AddFault(c.fallbackKey(i), "fallbacks form a cycle: %s", strings.Join(seen, ", "))
				break
			}
			if len(seen) > len(table.Routes) { // the route leads into a cycle without being part of it
				break
			}
		}
	}
}

// fallback returns the name of the fallback of a route, "" for none.
func (c *checker) fallback(i int) string {
	route := &c.file.Routes[i]
	for _, limits := range []Limits{route.Limits, c.file.Class[cmp.Or(route.Class, route.Type)], c.file.Defaults} {
		if limits.Fallback != nil {
			return *limits.Fallback
		}
	}
	return ""
}

// fallbackKey returns the path in the file at which a fault of a fallback is reported.
func (c *checker) fallbackKey(i int) string {
	if key := at(i, "fallback"); c.Has(key) {
		return key
	}
	return fmt.Sprint("routes.", i)
}
