package scale

import (
	"fmt"
	"time"

	"fernvane/internal/testbed/standin/discovery"
)

// linesPerSecond is far above the need of any size: the capacity of a discovery service is not what a run measures.
const linesPerSecond = 1e12

// standin is a Source that changes the entries of a stand-in of discovery.
type standin struct {
	layout  *Layout
	service *discovery.Service
}

type discardWatcher struct{}

func (discardWatcher) Announced(int, string, string, int64, time.Time) {}

func newStandin(l *Layout) (Source, error) {
	s := &standin{layout: l, service: discovery.New(discovery.Settings{LinesPerSecond: linesPerSecond, Timeout: time.Minute}, l.Size.Seed, discardWatcher{})}
	for i := range l.Size.Servers {
		s.service.Set(s.entry(i, discovery.Serving))
	}
	for i, port := range []int{discoveryPort, discoveryControlPort} {
		if err := s.service.Serve(i, 0, l.discoveryAddress(port)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *standin) entry(i int, condition string) discovery.Entry {
	const longAgo = 90 * 24 * time.Hour
	return discovery.Entry{ID: serverID(s.layout.Size.Services, i), Site: zoneName(s.layout, i%s.layout.Size.Zones), Cell: i % 40,
		MachineKind: fmt.Sprintf("svc%04d", i%s.layout.Size.Services), Condition: condition, StartedAt: time.Now().Add(-longAgo).Truncate(24 * time.Hour),
		Addresses: []string{fmt.Sprintf("127.1.%d.%d:%d", i>>8&255, i&255, 1024+i>>16)}}
}

func (s *standin) Change(server int, draining bool) (time.Time, error) {
	condition := discovery.Serving
	if draining {
		condition = discovery.Draining
	}
	at := time.Now()
	s.service.Set(s.entry(server, condition))
	return at, nil
}

func (s *standin) SetDown(isDown bool) error {
	s.service.SetDown(isDown)
	return nil
}

func (s *standin) Close() { s.service.Close() }
