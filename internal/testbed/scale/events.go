package scale

import (
	"fmt"
	"slices"
	"strings"
)

// Events that may befall a fleet.
const (
	NoEvent         = ""
	RestartTenth    = "restart-tenth"
	Rack            = "rack"
	Zone            = "zone"
	RegionPartition = "regions-apart"
	ControlKilled   = "control-killed"
	DiscoveryDown   = "discovery-away"
	StartAll        = "start-all"
)

// Events lists what may befall, with what it means here.
var Events = []struct{ Name, About string }{
	{RestartTenth, "a tenth of the nodes' processes, one at least, are killed and started again"},
	{Rack, "one process of nodes is killed, and back after half of the phase"},
	{Zone, "all processes of a zone are killed, and back after half of the phase"},
	{RegionPartition, "nodes and control processes of different regions do not reach each other for half of the phase; what comes to a node only after that counts from then"},
	{ControlKilled, "the first control process is killed, and back after half of the phase"},
	{DiscoveryDown, "discovery cannot be reached for half of the phase; changes made meanwhile count from its return"},
	{StartAll, "all nodes are killed and started at once"},
}

func (s *Size) checkEvent() error {
	names := []string{}
	for _, e := range Events {
		names = append(names, e.Name)
	}
	switch {
	case s.Event == NoEvent:
		return nil
	case !slices.Contains(names, s.Event):
		return fmt.Errorf("--event %s: one of %s", s.Event, strings.Join(names, ", "))
	case s.Event == RegionPartition && s.Regions < 2:
		return fmt.Errorf("--event %s needs two regions", s.Event)
	}
	return nil
}

// victims are the nodes' processes that an event kills.
func (c *conductor) victims() (victims []int) {
	all := len(c.workers)
	switch c.layout.Size.Event {
	case RestartTenth:
		for i := range max(all/10, 1) {
			victims = append(victims, i*10%all)
		}
	case Rack:
		victims = []int{int(c.layout.Size.Seed % uint64(all))}
	case Zone:
		for i := range all {
			if i%c.layout.Size.Zones == int(c.layout.Size.Seed%uint64(c.layout.Size.Zones)) {
				victims = append(victims, i)
			}
		}
	case StartAll:
		for i := range all {
			victims = append(victims, i)
		}
	}
	slices.Sort(victims)
	return slices.Compact(victims)
}
