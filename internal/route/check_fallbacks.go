package route

import (
	"cmp"
	"fmt"
	"strings"
)

// checkFallbacks finds fallbacks to routes that do not exist, that do not serve the type, or that form a cycle.
func (c *checker) checkFallbacks(table *Table) {
	for i := range table.Routes {
		c.fragments.selectRoute(i)
		l := c.fallback(i)
		if l == "" {
			continue
		}
		to, ok := c.routes[l]
		if !ok {
			c.Wrong(c.fallbackKey(i), "route %q falls back to %q, which does not exist", table.Routes[i].Name, l)
			continue
		}
		table.Routes[i].fallback = to
		for k, p := range table.Routes[i].profileByType {
			if p >= 0 && to != i && table.Routes[to].profileByType[k] < 0 {
				c.Wrong(c.fallbackKey(i), "route %q falls back to %q, which is not for type %s", table.Routes[i].Name, l, c.settings.TypeNames[k])
				break
			}
		}
	}
	for i := range table.Routes {
		c.fragments.selectRoute(i)
		seen := []string{table.Routes[i].Name}
		for at := table.Routes[i].fallback; at >= 0; at = table.Routes[at].fallback {
			seen = append(seen, table.Routes[at].Name)
			if at == i {
				c.Wrong(c.fallbackKey(i), "the fallbacks go in a circle: %s", strings.Join(seen, ", "))
				break
			}
			if len(seen) > len(table.Routes) { // a cycle that this route leads into
				break
			}
		}
	}
}

func (c *checker) fallback(i int) string {
	r := &c.file.Routes[i]
	for _, l := range []Limits{r.Limits, c.file.Class[cmp.Or(r.Class, r.Type)], c.file.Defaults} {
		if l.Fallback != nil {
			return *l.Fallback
		}
	}
	return ""
}

func (c *checker) fallbackKey(i int) string {
	if key := at(i, "fallback"); c.Has(key) {
		return key
	}
	return fmt.Sprint("routes.", i)
}
