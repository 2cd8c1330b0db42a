package watch

import (
	"fmt"
	"net/netip"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
)

var entryConditions = [...]incarnation.Condition{
	http1.Serving:  incarnation.Up,
	http1.Draining: incarnation.Draining,
	http1.Deleted:  incarnation.Gone,
}

var http1Conditions = [...]http1.Condition{
	incarnation.Up:       http1.Serving,
	incarnation.Draining: http1.Draining,
	incarnation.Gone:     http1.Deleted,
}

// EntriesFromList converts an endpoint list of discovery into incarnation entries.
func EntriesFromList(list http1.EndpointList) []incarnation.Entry {
	entries := make([]incarnation.Entry, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		entry := incarnation.Entry{
			ID:            endpoint.ID,
			StartedUnixMS: endpoint.StartedUnixMS,
			Condition:     entryConditions[endpoint.Condition],
			Revision:      list.Revision,
			Zone:          endpoint.Zone,
			MachineKind:   endpoint.MachineKind,
			Cell:          endpoint.Cell,
			Weight:        endpoint.Weight,
		}
		if endpoint.Address.IsValid() {
			entry.Address = endpoint.Address.String()
		}
		entries = append(entries, entry)
	}
	return entries
}

// ListFromEntries converts incarnation entries into a list of changes that a node can apply. Invalid entries are omitted, and
// their errors are added to the Skipped field of the list.
func ListFromEntries(entries []incarnation.Entry) http1.EndpointList {
	list := http1.EndpointList{}
	for _, entry := range entries {
		endpoint, err := endpointFromEntry(entry)
		if err != nil {
			list.Skipped = append(list.Skipped, err)
			continue
		}
		list.Revision = max(list.Revision, entry.Revision)
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

func endpointFromEntry(entry incarnation.Entry) (http1.Endpoint, error) {
	if entry.Condition > incarnation.Gone || entry.ID == "" {
		return http1.Endpoint{}, fmt.Errorf("server %.40q: ID is empty or condition %d is unknown", entry.ID, entry.Condition)
	}
	endpoint := http1.Endpoint{
		ID:            entry.ID,
		Zone:          entry.Zone,
		MachineKind:   entry.MachineKind,
		Cell:          entry.Cell,
		Weight:        entry.Weight,
		StartedUnixMS: entry.StartedUnixMS,
		Condition:     http1Conditions[entry.Condition],
	}
	var err error
	endpoint.Address, err = netip.ParseAddrPort(entry.Address)
	if err != nil && endpoint.Condition == http1.Serving {
		return endpoint, fmt.Errorf("server %.40q: address is missing or invalid", entry.ID)
	}
	return endpoint, nil
}
