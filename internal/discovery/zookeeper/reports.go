package zookeeper

import "fernvane/internal/discovery/incarnation"

// Reports passes servers that other processes have in use to Follow, which removes them unless the registry lists them; see
// endpoints.Set.Restore. The zero value passes none.
type Reports struct {
	pending chan []incarnation.Entry
}

// NewReports returns Reports that servers can be added to.
func NewReports() Reports { return Reports{make(chan []incarnation.Entry, 1)} }

// Add adds servers. It never waits for Follow. It must not be called concurrently.
func (r Reports) Add(servers []incarnation.Entry) {
	if len(servers) == 0 {
		return
	}
	select {
	case earlier := <-r.pending:
		servers = append(earlier, servers...)
	default:
	}
	r.pending <- servers
}
