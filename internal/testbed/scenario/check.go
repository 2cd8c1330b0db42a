package scenario

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernvane/internal/config/tomlfile"
)

const (
	shareTolerance = 0.001 // maximum difference of a sum of shares from 1
	maxServers     = 2000
	maxNodes       = 1000
	maxPlanners    = 8
	maxLength      = 10 * time.Minute
	maxRate        = 100_000
)

// checker records the errors in a scenario file, each with its key.
type checker struct{ *tomlfile.File }

// lastName returns the last component of a dotted key.
func lastName(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// inRange checks that a value is between least and most, inclusive.
func (c checker) inRange(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.AddFault(key, "%s is %v, want %v to %v", lastName(key), v, least, most)
	}
}

// oneOf checks that a value is one of the allowed values.
func (c checker) oneOf(key, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.AddFault(key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
}

// positive checks that a duration is greater than 0.
func (c checker) positive(key string, d Duration) {
	if d <= 0 {
		c.AddFault(key, "%s must be greater than 0", lastName(key))
	}
}

// check sets defaults and returns all errors in the file.
func (s *Scenario) check(f *tomlfile.File) error {
	s.setDefaults()
	c := checker{f}
	if s.Name == "" {
		c.AddFault("name", "scenario has no name")
	}
	c.inRange("length", s.Length.Std().Seconds(), 0.1, maxLength.Seconds())
	s.checkNodes(c)
	s.checkLoad(c)
	if len(s.Sites) == 0 || len(s.Sites) > 16 {
		c.AddFault("sites", "number of sites out of range, want 1 to 16")
	}
	s.checkServers(c)
	s.checkTypes(c)
	s.checkTenants(c)
	for i := range s.Faults {
		s.checkFault(c, i)
	}
	return c.Err()
}

func (s *Scenario) checkNodes(c checker) {
	c.inRange("nodes.count", float64(s.Nodes.Count), 1, maxNodes)
	c.oneOf("journal.promise", s.Journal.Durability, "", "process", "machine", "machines")
	c.inRange("peers.replicas", float64(s.Peers.Replicas), 0, 6)
	c.oneOf("journal.when_failing", s.Journal.WhenFailing, "deny", "serve")
	c.oneOf("lists.start", s.Lists.Start, "known", "kept", "none")
	c.inRange("registry.addresses", float64(s.Registry.Addresses), 0, 5)
	c.inRange("planners.count", float64(s.Planners.Count), 0, maxPlanners)
	if n := len(s.Sites); n > s.Nodes.Count {
		c.AddFault("nodes.count", "%d sites, but %d nodes: each site needs at least one node", n, s.Nodes.Count)
	}
}

func (s *Scenario) checkLoad(c checker) {
	c.inRange("load.rate", s.Load.Rate, 0.1, maxRate)
	c.inRange("load.swing", s.Load.Swing, 0, 0.95)
	c.inRange("load.skew", s.Load.Skew, 0, 0.9)
	c.inRange("load.over", s.Load.OverageRevenue, 0, 1)
	c.oneOf("load.shape", s.Load.Shape, "constant", "poisson", "bursts", "ramp", "wave")
	c.inRange("clients.gives_up", s.Clients.TimeoutShare, 0.01, 1)
	c.inRange("clients.leaves", s.Clients.DisconnectShare, 0, 1)
	c.inRange("clients.leaves_at", s.Clients.DisconnectAfter, 0.001, 1)
	c.inRange("clients.retries", float64(s.Clients.Retries), 0, 10)
	c.inRange("rules.drain_close", s.Rules.DrainClose.Std().Seconds(), 0, maxLength.Seconds())
	c.inRange("rules.most_hops", float64(s.Rules.MaxAttempts), 1, 16)
}

func (s *Scenario) checkTypes(c checker) {
	shares := 0.0
	if len(s.Types) == 0 {
		c.AddFault("types", "scenario has no traffic types")
	}
	for i := range s.Types {
		t, key := &s.Types[i], "types."+strconv.Itoa(i)
		shares += t.Share
		c.inRange(key+".share", t.Share, 0, 1)
		c.positive(key+".work", t.Work)
		c.positive(key+".target", t.LatencyObjective)
		if t.AbandonTime < t.LatencyObjective {
			c.AddFault(key+".abandon", "abandon time of type %s is shorter than its target time", t.Name)
		}
		c.oneOf(key+".dist", t.WorkDistribution, "constant", "exp", "lognormal")
		c.oneOf(key+".repeat", t.Idempotency, "retriable", "fingerprinted", "binding")
		c.oneOf(key+".group", t.KeyScope, "all", "zone", "cell")
		for _, site := range t.OnlySites {
			c.oneOf(key+".only_sites", site, s.Sites...)
		}
		for _, kind := range t.OnlyKinds {
			if !slices.ContainsFunc(s.Servers, func(group Servers) bool { return group.Kind == kind }) {
				c.AddFault(key+".only_kinds", "no boxes of kind %q", kind)
			}
		}
		if slices.ContainsFunc(s.Types[:i], func(earlier Type) bool { return earlier.Name == t.Name }) {
			c.AddFault(key+".name", "duplicate type %q", t.Name)
		}
	}
	if len(s.Types) > 0 && math.Abs(shares-1) > shareTolerance {
		c.AddFault("types.0.share", "shares of types add up to %.3f, want 1", shares)
	}
}

func (s *Scenario) checkTenants(c checker) {
	shares := 0.0
	for i, t := range s.Tenants {
		shares += t.Share
		c.inRange("tenants."+strconv.Itoa(i)+".share", t.Share, 0, 1)
	}
	if len(s.Tenants) > 0 && math.Abs(shares-1) > shareTolerance {
		c.AddFault("tenants.0.share", "shares of tenants add up to %.3f, want 1", shares)
	}
}

func (s *Scenario) checkServers(c checker) {
	total := 0
	for i, group := range s.Servers {
		key := "boxes." + strconv.Itoa(i)
		total += group.Count
		c.inRange(key+".count", float64(group.Count), 1, maxServers)
		c.inRange(key+".cores", float64(group.Cores), 1, 256)
		c.inRange(key+".speed", group.Speed, 0.01, 1000)
		c.inRange(key+".cold_share", group.SlowStartCapacity, 0.01, 1)
		c.inRange(key+".key_gain", group.CacheGain, 0, 0.95)
		c.inRange(key+".error_rate", group.ErrorRate, 0, 1)
		if group.PauseEvery > 0 && group.PauseFor >= group.PauseEvery {
			c.AddFault(key+".pause_for", "pause of %s every %s leaves no time to work", group.PauseFor.Std(), group.PauseEvery.Std())
		}
		if group.Kind == "" || slices.ContainsFunc(s.Servers[:i], func(earlier Servers) bool { return earlier.Kind == group.Kind }) {
			c.AddFault(key+".kind", "kind of boxes is empty or used twice")
		}
	}
	if len(s.Servers) == 0 || total > maxServers {
		c.AddFault("boxes", "%d boxes in total, want 1 to %d", total, maxServers)
	}
}

// ServerNames returns the names of the servers that exist at the start of the run, grouped by kind.
func (s *Scenario) ServerNames() []string {
	var names []string
	for _, group := range s.Servers {
		for i := range group.Count {
			names = append(names, fmt.Sprintf("%s-%d", group.Kind, i))
		}
	}
	return names
}
