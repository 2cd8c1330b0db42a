package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/staleness"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
)

const (
	evaluationInterval      = 50 * time.Millisecond  // between two looks at what time changes
	renewInterval           = 30 * time.Second       // a list without changes is written anew so often: its age is what it is believed by
	incompleteListDuration  = 30 * time.Second       // a list that lacks most servers which answer is not believed for so long
	maxMissingShare         = 0.5                    // of them
	minMissing              = 2                      // servers
	fetchTimeout            = 500 * time.Millisecond // for neighbours to tell the lists that they keep
	unconfirmedPollInterval = time.Second            // until a source whose list was not believed is asked once more
)

// listKeeper is the list of servers that a node keeps on its disk, and what it makes of the one before its start.
type endpointCache struct {
	cfg        *snapshot.Config
	nodeName   string
	dispatcher *dispatch.Dispatcher
	logger     zerolog.Logger
	store      *snapshot.Store
	startedAt  time.Time
	peers      *peer.Node // who may have a list where this node has none; nil: nobody

	writeMu sync.Mutex // one generation at a time

	mu              sync.Mutex // never held over a file or a socket
	evaluator       *staleness.Evaluator
	endpoints       map[string]endpoints.Endpoint
	incompleteSince time.Time // since when a list is not believed; zero: none was
	lastRevision    uint64    // revision of what was told last
}

func newEndpointCache(cfg Config, f *dispatch.Dispatcher, log zerolog.Logger) (*endpointCache, error) {
	files := cfg.Filesystem
	if files == nil {
		files = wal.OSFileSystem{}
	}
	store, err := snapshot.Open(cfg.Snapshot.Dir, cfg.Snapshot.MaxGenerations, files)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cfg.Snapshot.Dir, err)
	}
	return &endpointCache{cfg: cfg.Snapshot, nodeName: cfg.Name, dispatcher: f, logger: log, store: store, startedAt: time.Now()}, nil
}

// start goes by the newest list on disk, if that is of use and no older than the one that the configuration brings, which
// says nothing of its age. It returns the list to go on from.
func (k *endpointCache) load(known http1.EndpointList) (l http1.EndpointList, use bool) {
	snap, faults, err := k.store.Newest()
	own := snap != nil
	if !own && k.peers != nil {
		snap = k.fetchFromPeers()
	}
	for _, f := range append(faults, err) {
		if f != nil {
			k.logger.Warn().Err(f).Msg("kept list passed over")
		}
	}
	if snap == nil {
		return known, false
	}
	now := time.Now()
	age := now.Sub(time.UnixMilli(snap.ConfirmedUnixMS))
	switch {
	case snap.Deployment != k.cfg.Deployment:
		err = fmt.Errorf("it is of deployment %.60q, not %q", snap.Deployment, k.cfg.Deployment)
	case own && snap.Node != k.nodeName:
		err = fmt.Errorf("it is of node %.60q, not %q", snap.Node, k.nodeName)
	case age > k.cfg.MaxAge.Std():
		err = fmt.Errorf("it was confirmed %s ago", age.Round(time.Minute))
	case len(known.Hosts) > 0 && known.Revision >= snap.Revision:
		err = errors.New("the configuration brings one that is as new")
	}
	if err != nil {
		k.logger.Warn().Err(err).Msg("kept list not used")
		return known, false
	}
	k.lastRevision = snap.Revision
	k.endpoints = map[string]endpoints.Endpoint{}
	var servers []staleness.Server
	l = http1.EndpointList{Revision: snap.Revision}
	for _, s := range snap.Servers {
		w := endpoints.Endpoint{ID: s.ID, Zone: s.Zone, MachineKind: s.MachineKind, Cell: s.Cell, Weight: s.Weight, StartedUnixMS: s.StartedUnixMS, Condition: incarnation.Condition(s.Condition)}
		w.Address, err = netip.ParseAddrPort(s.Address)
		if w.Condition > incarnation.Gone || err != nil && w.Condition == incarnation.Up {
			l.Skipped = append(l.Skipped, fmt.Errorf("kept server %.40q cannot be used", s.ID))
			continue
		}
		k.endpoints[s.ID] = w
		servers = append(servers, staleness.Server{ID: s.ID, IsUp: w.Condition == incarnation.Up, HasExecuted: s.ExecutedUnixMS > 0})
		l.Hosts = append(l.Hosts, listedEndpoint(w))
	}
	k.evaluator = staleness.New(staleness.CachedList{Age: age, IsCleanShutdown: snap.IsCleanShutdown && own}, k.nodeName, servers)
	k.logger.Info().Str("of", snap.Node).Float64("age_s", age.Round(time.Second/10).Seconds()).Bool("clean", snap.IsCleanShutdown).Int("grade", k.evaluator.Level()).
		Int("servers", len(servers)).Msg("kept list used")
	k.applyUsable()
	return l, true
}

// fetched is the newest list that a neighbour keeps, for a node whose own disk has none: believed by its age, and as that of
// a node that crashed, for nobody tells what happened since.
func (k *endpointCache) fetchFromPeers() (newest *snapshot.Snapshot) {
	for _, text := range k.peers.FetchEndpointLists(fetchTimeout) {
		snap, err := snapshot.Decode(text)
		switch {
		case err != nil:
			k.logger.Warn().Err(err).Msg("a neighbour's list passed over")
		case snap.Deployment == k.cfg.Deployment && (newest == nil || snap.ConfirmedUnixMS > newest.ConfirmedUnixMS):
			newest = snap
		}
	}
	return newest
}

// text is the list as it stands, for neighbours; nil while it is suspect here.
func (k *endpointCache) encode() []byte {
	snap, _ := k.snapshot(false)
	if snap == nil {
		return nil
	}
	text, err := snapshot.Encode(snap)
	if err != nil {
		return nil
	}
	return text
}

var listedCondition = [...]http1.Condition{incarnation.Up: http1.Serving, incarnation.Draining: http1.Draining, incarnation.Gone: http1.Deleted}

func listedEndpoint(w endpoints.Endpoint) http1.Endpoint {
	return http1.Endpoint{ID: w.ID, Address: w.Address, Zone: w.Zone, Flavor: w.MachineKind, Cell: w.Cell, Size: w.Weight, UpSinceMS: w.StartedUnixMS, Phase: listedCondition[w.Condition]}
}

// offer hands to the fleet what may be used now.
func (k *endpointCache) applyUsable() {
	usable, changed := k.evaluator.Usable()
	if !changed {
		return
	}
	words, proved := make([]endpoints.Endpoint, 0, len(usable)), map[string]bool{}
	for _, u := range usable {
		words = append(words, k.endpoints[u.ID])
		proved[u.ID] = u.IsProven
	}
	k.dispatcher.ApplySuspectList(words, proved)
}

// believe ends the suspicion, for a source has told. What it tells as changes is told of the list that was kept, which
// holds with it.
func (k *endpointCache) confirm(l http1.EndpointList, from endpoints.Source) (out http1.EndpointList, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRevision = max(k.lastRevision, l.Revision)
	if k.evaluator == nil {
		return l, true
	}
	if l.Complete && k.lacksProvenServers(l) {
		return l, false
	}
	if !l.Complete && from == endpoints.SourceDiscovery {
		hosts := make([]http1.Endpoint, 0, len(k.endpoints)+len(l.Hosts))
		for _, w := range k.endpoints {
			hosts = append(hosts, listedEndpoint(w))
		}
		l.Hosts = append(hosts, l.Hosts...)
	}
	k.evaluator, k.endpoints = nil, nil
	k.dispatcher.EndSuspicion()
	k.logger.Info().Stringer("from", from).Dur("after", time.Since(k.startedAt)).Msg("kept list over: servers are told of")
	return l, true
}

// short tells whether a whole list lacks most of the servers that have shown since the start that they serve: a source
// that has started anew may tell of none at first.
func (k *endpointCache) lacksProvenServers(l http1.EndpointList) bool {
	named, proved, missing := map[string]bool{}, 0, 0
	for _, h := range l.Hosts {
		named[h.ID] = true // also one that is told to drain
	}
	for id := range k.endpoints {
		if k.evaluator.Status(id) == staleness.Proven {
			if proved++; !named[id] {
				missing++
			}
		}
	}
	if missing < minMissing || float64(missing) <= maxMissingShare*float64(proved) {
		return false
	}
	now := time.Now()
	if k.incompleteSince.IsZero() {
		k.incompleteSince = now
		k.logger.Error().Int("missing", missing).Int("serving", proved).Msg("a list lacks most servers that answer: it is not believed yet")
	}
	return now.Sub(k.incompleteSince) < incompleteListDuration
}

// run follows what hops find out while the list is suspect, and writes it while it is not.
func (k *endpointCache) evaluate(ctx context.Context) error {
	evidence := k.dispatcher.Observations()
	tick := time.NewTicker(evaluationInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-evidence:
			k.mu.Lock()
			if now := k.dispatcher.Now(); k.evaluator != nil {
				switch {
				case e.IsOtherServer:
					k.evaluator.WrongServer(now, e.Server)
				case e.HasExecuted:
					k.evaluator.RequestExecuted(now, e.Server)
				case e.HasResponded:
					k.evaluator.RequestRejected(now, e.Server)
				default:
					k.evaluator.ConnectFailed(now, e.Server)
				}
				k.applyUsable()
			}
			k.mu.Unlock()
		case <-tick.C:
			k.mu.Lock()
			over := k.evaluator == nil
			if !over {
				k.evaluator.Tick(k.dispatcher.Now())
				k.applyUsable()
			}
			k.mu.Unlock()
			if over {
				return nil
			}
		}
	}
}

// keep writes the list whenever it has changed, and now and then, for its age. A disk that takes nothing costs the list
// only.
func (k *endpointCache) writePeriodically(ctx context.Context) error {
	tick := time.NewTicker(k.cfg.WriteInterval.Std())
	defer tick.Stop()
	lists, wrote, failing := -1, time.Time{}, false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		snap, now := k.snapshot(false)
		if snap == nil || now == lists && time.Since(wrote) < renewInterval {
			continue
		}
		err := k.write(snap)
		if (err != nil) != failing {
			if failing = err != nil; failing {
				k.logger.Error().Err(err).Msg("list not kept")
			} else {
				k.logger.Info().Msg("list kept again")
			}
		}
		if err == nil {
			lists, wrote = now, time.Now()
		}
	}
}

func (k *endpointCache) write(snap *snapshot.Snapshot) error {
	k.writeMu.Lock()
	defer k.writeMu.Unlock()
	return k.store.Write(snap)
}

// final writes the list as the node ends in good order.
func (k *endpointCache) writeFinal() {
	if snap, _ := k.snapshot(true); snap != nil {
		if err := k.write(snap); err != nil {
			k.logger.Error().Err(err).Msg("list not kept")
		}
	}
}

// snap is the list as it stands; nil while it is suspect, for writing it would make it look confirmed, or empty.
func (k *endpointCache) snapshot(clean bool) (s *snapshot.Snapshot, lists int) {
	k.mu.Lock()
	suspect, revision := k.evaluator != nil, k.lastRevision
	k.mu.Unlock()
	lines, from, heard, lists := k.dispatcher.Endpoints()
	if suspect || len(lines) == 0 || from == endpoints.SourceConfig {
		return nil, lists
	}
	now, clock := time.Now(), k.dispatcher.Now()
	wall := func(at time.Duration) int64 { return now.Add(at - clock).UnixMilli() }
	s = &snapshot.Snapshot{Node: k.nodeName, Deployment: k.cfg.Deployment, WrittenUnixMS: now.UnixMilli(), ConfirmedUnixMS: wall(heard), IsCleanShutdown: clean, Revision: revision}
	for _, l := range lines {
		one := snapshot.Server{ID: l.ID, StartedUnixMS: l.StartedUnixMS, Condition: uint8(l.Condition), Zone: l.Zone, MachineKind: l.MachineKind, Cell: l.Cell, Weight: l.Weight,
			Source: uint8(l.Source), AnnouncedUnixMS: wall(l.AnnouncedAt)}
		if !l.IsUsable && l.Condition == incarnation.Up { // taken out by a whole list, or by another at its address
			one.Condition = uint8(incarnation.Gone)
		}
		if l.Address.IsValid() {
			one.Address = l.Address.String()
		}
		if l.HasExecuted {
			one.ExecutedUnixMS = wall(l.ExecutedAt)
		}
		s.Servers = append(s.Servers, one)
	}
	return s, lists
}
