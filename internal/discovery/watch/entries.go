package watch

import (
	"fmt"
	"net/netip"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
)

var conditions = [...]incarnation.Condition{
	http1.Serving:  incarnation.Up,
	http1.Draining: incarnation.Draining,
	http1.Deleted:  incarnation.Gone,
}

var phases = [...]http1.Condition{
	incarnation.Up:       http1.Serving,
	incarnation.Draining: http1.Draining,
	incarnation.Gone:     http1.Deleted,
}

// EntriesFromList returns a list of discovery as incarnation entries.
func EntriesFromList(list http1.EndpointList) []incarnation.Entry {
	entries := make([]incarnation.Entry, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		entry := incarnation.Entry{
			ID:            host.ID,
			StartedUnixMS: host.UpSinceMS,
			Condition:     conditions[host.Phase],
			Revision:      list.Revision,
			Zone:          host.Zone,
			MachineKind:   host.Flavor,
			Cell:          host.Cell,
			Weight:        host.Size,
		}
		if host.Address.IsValid() {
			entry.Address = host.Address.String()
		}
		entries = append(entries, entry)
	}
	return entries
}

// ListFromEntries returns incarnation entries as a list of changes, as a node applies it. Entries that cannot be used are
// left out and named in the list's Skipped.
func ListFromEntries(entries []incarnation.Entry) http1.EndpointList {
	list := http1.EndpointList{}
	for _, entry := range entries {
		host, err := hostFromEntry(entry)
		if err != nil {
			list.Skipped = append(list.Skipped, err)
			continue
		}
		list.Revision = max(list.Revision, entry.Revision)
		list.Hosts = append(list.Hosts, host)
	}
	return list
}

func hostFromEntry(entry incarnation.Entry) (http1.Endpoint, error) {
	if entry.Condition > incarnation.Gone || entry.ID == "" {
		return http1.Endpoint{}, fmt.Errorf("server %.40q in unknown condition %d", entry.ID, entry.Condition)
	}
	host := http1.Endpoint{
		ID:        entry.ID,
		Zone:      entry.Zone,
		Flavor:    entry.MachineKind,
		Cell:      entry.Cell,
		Size:      entry.Weight,
		UpSinceMS: entry.StartedUnixMS,
		Phase:     phases[entry.Condition],
	}
	var err error
	host.Address, err = netip.ParseAddrPort(entry.Address)
	if err != nil && host.Phase == http1.Serving {
		return host, fmt.Errorf("server %.40q has no usable address", entry.ID)
	}
	return host, nil
}
