package scale

import (
	"fmt"
	"slices"
	"strings"
)

// Names of events.
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

// Events lists the events with their descriptions, for the help of the command.
var Events = []struct{ Name, Description string }{
	{RestartTenth, "a tenth of the node processes, at least one, are killed and started again"},
	{Rack, "one node process is killed, and started again after half of the phase"},
	{Zone, "all node processes of a zone are killed, and started again after half of the phase"},
	{RegionPartition, "nodes and control processes of different regions are partitioned for half of the phase; a change that a node applies only after that counts from the end of the partition"},
	{ControlKilled, "the first control process is killed, and started again after half of the phase"},
	{DiscoveryDown, "discovery is unreachable for half of the phase; changes made meanwhile count from its return"},
	{StartAll, "all nodes are killed and started concurrently"},
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
		return fmt.Errorf("--event %s: want one of %s", s.Event, strings.Join(names, ", "))
	case s.Event == RegionPartition && s.Regions < 2:
		return fmt.Errorf("--event %s: needs at least 2 regions", s.Event)
	}
	return nil
}

// victims returns the node processes that the event kills.
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
