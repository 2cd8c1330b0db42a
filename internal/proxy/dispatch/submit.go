package dispatch

import (
	"errors"
	"time"

	"fernvane/internal/route"
	"fernvane/policy"
)

// Errors of Submit.
var (
	// ErrNoCapacity is returned if the node's descriptors allow no further request in flight.
	ErrNoCapacity = errors.New("node limit of requests in flight reached")
	// ErrDuplicateID is returned if a request with the same client ID is not settled.
	ErrDuplicateID = errors.New("an operation of this id is open") // clients receive this text as the body of a 409 response
	// ErrUsedID is returned if an earlier request with the same client ID may have run and must not run again.
	ErrUsedID = errors.New("an earlier request with this id may have run")
	// ErrRouteLimit is returned if a limit of the request's route is reached.
	ErrRouteLimit = errors.New("route limit reached")
	// ErrRoutesChanged is returned if the request was matched with a route table that has since been replaced. The caller
	// must match the request again.
	ErrRoutesChanged = errors.New("route table replaced since request was matched")
)

// Arrival describes a new request.
type Arrival struct {
	ID          []byte // assigned by the client
	Tenant      []byte
	Key         []byte       // affinity key; requests with the same key may be sent to the same servers
	IsRetry     bool         // the client marked the request as a retry
	Routes      *route.Table // the table that the request was matched with
	RouteIndex  int          // -1 if no route matched
	TrafficType int          // index in the settings
	BodyBytes   int
	Timeout     time.Duration
	// StartHedge starts a hedged attempt beside the first attempt. It is called with the lock held and must not block.
	StartHedge func(*Request, Decision)
}

// requestTable contains the requests that are not settled, have an attempt in flight or whose final decision NextDecision has
// not returned.
type requestTable struct {
	byID          map[uint64]*Request
	openClientIDs map[string]bool // client IDs of the requests that are not settled
	usedIDs       usedIDs
	lastID        uint64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*Request{}, openClientIDs: map[string]bool{}, usedIDs: newUsedIDs()}
}

// TrafficType returns the index of the traffic type with the given name. ok is false if there is none.
func (d *Dispatcher) TrafficType(name []byte) (index int, ok bool) {
	index, ok = d.names.trafficTypes[string(name)]
	return index, ok
}

// DefaultTimeout returns the timeout of requests of a traffic type that specify none.
func (d *Dispatcher) DefaultTimeout(trafficType int) time.Duration {
	return d.settings.TrafficTypes[trafficType].ClientTimeout
}

// Submit accepts a new request, or returns one of the errors above. Requests beyond the descriptor budget are not accepted,
// since they could not be completed in time. A tenant that is not in the settings has no quota. All such tenants share one
// index, the next one that SetQuotas would assign to a new tenant.
func (d *Dispatcher) Submit(a Arrival) (*Request, error) {
	d.mu.Lock()
	defer d.unlock()
	if d.requests.openClientIDs[string(a.ID)] {
		return nil, ErrDuplicateID
	}
	if d.requests.usedIDs.contains(a.ID) {
		return nil, ErrUsedID
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
	admission, outcome := d.routes.Admit(now, a.RouteIndex, a.TrafficType, tenant, a.BodyBytes)
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

// abandonDisconnected cancels all attempts of settled requests, also those of disconnected clients whose write has begun, so
// that their descriptors become available to requests with a client.
func (d *Dispatcher) abandonDisconnected() {
	for _, r := range d.requests.byID {
		for _, a := range r.inFlight {
			if r.isSettled && a.cancel != nil {
				a.cancel()
			}
		}
	}
}
