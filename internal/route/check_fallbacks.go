package route

import (
	"cmp"
	"fmt"
	"strings"
)

// checkFallbacks looks for those that lead nowhere, to another class, or back.
func (c *checker) checkFallbacks(set *Table) {
	for i := range set.Routes {
		c.fragments.selectRoute(i)
		l := c.fallback(i)
		if l == "" {
			continue
		}
		to, ok := c.routes[l]
		if !ok {
			c.Wrong(c.fallbackKey(i), "route %q falls back to %q, which does not exist", set.Routes[i].Name, l)
			continue
		}
		set.Routes[i].fallback = to
		for k, p := range set.Routes[i].profileByType {
			if p >= 0 && to != i && set.Routes[to].profileByType[k] < 0 {
				c.Wrong(c.fallbackKey(i), "route %q falls back to %q, which is not for type %s", set.Routes[i].Name, l, c.settings.TypeNames[k])
				break
			}
		}
	}
	for i := range set.Routes {
		c.fragments.selectRoute(i)
		seen := []string{set.Routes[i].Name}
		for at := set.Routes[i].fallback; at >= 0; at = set.Routes[at].fallback {
			seen = append(seen, set.Routes[at].Name)
			if at == i {
				c.Wrong(c.fallbackKey(i), "the fallbacks go in a circle: %s", strings.Join(seen, ", "))
				break
			}
			if len(seen) > len(set.Routes) { // a circle that this route leads into
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
