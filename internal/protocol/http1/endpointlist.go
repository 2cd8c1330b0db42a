package http1

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"fernvane/internal/discovery/incarnation"
)

const listPath = "/discovery/hosts"

// Condition is the condition of a listed server.
type Condition uint8

// Conditions of a listed server.
const (
	Serving  Condition = iota // receives requests
	Draining                  // receives no new requests
	Deleted                   // is removed from the list
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID            string
	Address       netip.AddrPort
	Zone          string
	MachineKind   string
	Cell          int // failure domain inside the zone, or UnknownCell
	Condition     Condition
	Weight        float64
	StartedUnixMS int64 // start time as Unix time in ms; 0: not recent
}

// EndpointList is an endpoint list, or the changes of one, as returned by discovery.
type EndpointList struct {
	Revision   uint64
	IsComplete bool // full list, not changes
	Endpoints  []Endpoint
	Skipped    []error // errors of the entries that were skipped
}

// ParseEndpointList decodes the JSON of an endpoint list. An invalid entry is skipped, and its error is added to Skipped.
// The returned error is that of the list itself.
func ParseEndpointList(body []byte) (EndpointList, error) {
	var raw struct {
		Revision *uint64
		Complete bool
		Members  []json.RawMessage
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return EndpointList{}, fmt.Errorf("decode endpoint list: %w", err)
	}
	if raw.Revision == nil {
		return EndpointList{}, errors.New("decode endpoint list: no revision")
	}
	list := EndpointList{Revision: *raw.Revision, IsComplete: raw.Complete}
	for i, member := range raw.Members {
		endpoint, err := parseEndpoint(member)
		if err != nil {
			list.Skipped = append(list.Skipped, fmt.Errorf("entry %d: %w", i, err))
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// UnknownCell is the cell of an endpoint whose entry names none.
const UnknownCell = incarnation.UnknownCell

// parseEndpoint decodes an entry. An address is required only of a serving server, because requests are sent to no other.
func parseEndpoint(text []byte) (Endpoint, error) {
	var raw struct {
		ID        string
		HostPort  string `json:"host_port"`
		Locality  string
		Flavor    string
		Cell      *int
		Phase     string
		Size      float64
		UpSinceMS float64 `json:"up_since_ms"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Endpoint{}, err
	}
	endpoint := Endpoint{ID: raw.ID, Zone: raw.Locality, MachineKind: raw.Flavor, Cell: UnknownCell, Weight: raw.Size, StartedUnixMS: int64(raw.UpSinceMS)}
	if endpoint.ID == "" {
		return endpoint, errors.New("server without an id")
	}
	if raw.Cell != nil {
		endpoint.Cell = *raw.Cell
	}
	switch raw.Phase {
	case "SERVING":
	case "DRAINING":
		endpoint.Condition = Draining
	case "DELETED":
		endpoint.Condition = Deleted
	default:
		return endpoint, fmt.Errorf("server %.40q: unknown phase %.40q", endpoint.ID, raw.Phase)
	}
	var err error
	if endpoint.Address, err = netip.ParseAddrPort(raw.HostPort); err != nil && endpoint.Condition == Serving {
		return endpoint, fmt.Errorf("server %.40q: invalid host_port", endpoint.ID)
	}
	return endpoint, nil
}

// EndpointListRequest is a request to discovery, either for the full list or for the changes after a revision. Discovery
// responds when there are changes, or without any when Wait has passed.
type EndpointListRequest struct {
	WantsFullList bool          // request the full list; After and Wait are ignored
	After         uint64        // revision of the list that the node has
	Wait          time.Duration // sent in ms
}

// AppendEndpointListRequest appends an endpoint list request in the form of an HTTP request to host.
func AppendEndpointListRequest(b []byte, host string, request EndpointListRequest) []byte {
	b = append(b, "GET "+listPath...)
	if !request.WantsFullList {
		b = strconv.AppendUint(append(b, "?index="...), request.After, 10)
		b = strconv.AppendInt(append(b, "&wait="...), request.Wait.Milliseconds(), 10)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	return append(appendField(b, "Host", host), "\r\n"...)
}
