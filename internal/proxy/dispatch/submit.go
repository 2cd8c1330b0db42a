package dispatch

import (
	"errors"
	"time"

	"fernvane/internal/route"
	"fernvane/policy"
)

// Reasons why Submit does not accept a request.
var (
	// ErrNoCapacity says that the node's descriptors allow no more requests in flight.
	ErrNoCapacity = errors.New("the limit of requests in flight is reached")
	// ErrDuplicateID says that a request with the same ID has no answer yet. Clients get its text.
	ErrDuplicateID = errors.New("an operation of this id is open") // clients get this text with a 409
	// ErrRouteLimit says that a limit of the request's route is reached.
	ErrRouteLimit = errors.New("a limit of the route is reached")
	// ErrRoutesChanged says that the request was matched with a table of routes that has been replaced. The caller matches
	// it again.
	ErrRoutesChanged = errors.New("the routes have changed since the request was matched")
)

// Arrival is what is known of a new request.
type Arrival struct {
	ID          []byte // the client's
	Tenant      []byte
	Key         []byte       // what the request is about; requests with one key may share servers
	IsRetry     bool         // the client says that it sent the request before
	Routes      *route.Table // the table that the request was matched with
	RouteIndex  int          // -1 if no route matched
	TrafficType int          // by the settings
	Timeout     time.Duration
	// StartHedge starts a hedged attempt beside the first. It is called with the lock held and must return at once.
	StartHedge func(*Request, Decision)
}

// requestTable holds the requests that have no final answer yet or an attempt in flight.
type requestTable struct {
	byID          map[uint64]*Request
	openClientIDs map[string]bool // client's IDs of requests that are not settled
	lastID        uint64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*Request{}, openClientIDs: map[string]bool{}}
}

// TrafficType returns the index of the traffic type of that name.
func (d *Dispatcher) TrafficType(name []byte) (index int, ok bool) {
	index, ok = d.names.trafficTypes[string(name)]
	return index, ok
}

// DefaultTimeout returns how long clients of a traffic type wait if their request does not say.
func (d *Dispatcher) DefaultTimeout(trafficType int) time.Duration {
	return d.settings.TrafficTypes[trafficType].ClientTimeout
}

// Submit accepts a new request, or returns one of the errors above. More requests than the descriptors allow are not
// accepted, since they could not be answered in time. A tenant that the settings do not name has no quota; all such tenants
// have one index, the next that SetQuotas would give to a new tenant.
func (d *Dispatcher) Submit(a Arrival) (*Request, error) {
	d.mu.Lock()
	defer d.unlock()
	if d.requests.openClientIDs[string(a.ID)] {
		return nil, ErrDuplicateID
	}
	if a.Routes != d.routes.Table() {
		return nil, ErrRoutesChanged
	}
	if len(d.requests.byID) >= d.budget.perSide {
		d.counts.NoCapacity++
		d.abandonDisconnected()
		return nil, ErrNoCapacity
	}
	tenant, ok := d.names.tenants[string(a.Tenant)]
	if !ok {
		tenant = len(d.names.tenants)
	}
	now := d.now()
	admission, outcome := d.routes.Admit(now, a.RouteIndex, a.TrafficType, tenant)
	if outcome != route.Admitted {
		d.counts.RouteLimited++
		return nil, ErrRouteLimit
	}
	r := d.addRequest(a, admission)
	d.report.recordArrival(a.TrafficType, tenant)
	d.engine.RequestArrived(now, r.id, policy.Input{
		TrafficType:   admission.Type,
		RouteLimit:    admission.LimitIndex,
		Tenant:        tenant,
		Key:           policy.HashKey(a.Key),
		IsClientRetry: a.IsRetry,
		Timeout:       a.Timeout,
	}, d.effects())
	return r, nil
}

func (d *Dispatcher) addRequest(a Arrival, admission route.Admission) *Request {
	d.requests.lastID++
	r := &Request{
		dispatcher:  d,
		id:          d.requests.lastID,
		clientID:    string(a.ID),
		trafficType: a.TrafficType,
		admission:   admission,
		ready:       make(chan struct{}, 1),
		startHedge:  a.StartHedge,
	}
	d.requests.byID[r.id] = r
	d.requests.openClientIDs[r.clientID] = true
	return r
}

// abandonDisconnected cancels the attempts of requests whose clients have left, so that requests with a client get their
// descriptors.
func (d *Dispatcher) abandonDisconnected() {
	for _, r := range d.requests.byID {
		for _, a := range r.inFlight {
			if r.isSettled && a.cancel != nil {
				a.cancel()
			}
		}
	}
}
