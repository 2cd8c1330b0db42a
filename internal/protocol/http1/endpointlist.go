package http1

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

const listPath = "/discovery/hosts"

// Condition is that of a listed server.
type Condition uint8

// Conditions of a listed server.
const (
	Serving  Condition = iota // gets requests
	Draining                  // gets no new ones
	Deleted                   // is no longer listed
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	ID        string
	Address   netip.AddrPort
	Zone      string
	Flavor    string // kind of machine
	Cell      int
	Phase     Condition
	Size      float64
	UpSinceMS int64 // Unix time in ms; 0: long ago
}

// EndpointList is a response of discovery.
type EndpointList struct {
	Revision uint64
	Complete bool // the full list, not changes
	Hosts    []Endpoint
	Skipped  []error // why entries were left out
}

// ParseEndpointList parses discovery's JSON. An entry that cannot be parsed is left out and named in Skipped; the error is
// of the list itself.
func ParseEndpointList(body []byte) (EndpointList, error) {
	var raw struct {
		Revision *uint64
		Complete bool
		Members  []json.RawMessage
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return EndpointList{}, fmt.Errorf("the list cannot be read: %w", err)
	}
	if raw.Revision == nil {
		return EndpointList{}, errors.New("the list has no revision")
	}
	l := EndpointList{Revision: *raw.Revision, Complete: raw.Complete}
	for i, m := range raw.Members {
		h, err := parseEndpoint(m)
		if err != nil {
			l.Skipped = append(l.Skipped, fmt.Errorf("entry %d: %w", i, err))
			continue
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l, nil
}

func parseEndpoint(b []byte) (Endpoint, error) {
	var raw struct {
		ID        string
		HostPort  string `json:"host_port"`
		Locality  string
		Flavor    string
		Cell      int
		Phase     string
		Size      float64
		UpSinceMS float64 `json:"up_since_ms"`
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return Endpoint{}, err
	}
	h := Endpoint{ID: raw.ID, Zone: raw.Locality, Flavor: raw.Flavor, Cell: raw.Cell, Size: raw.Size, UpSinceMS: int64(raw.UpSinceMS)}
	if h.ID == "" {
		return h, errors.New("no id")
	}
	switch raw.Phase {
	case "SERVING":
	case "DRAINING":
		h.Phase = Draining
	case "DELETED":
		h.Phase = Deleted
	default:
		return h, fmt.Errorf("server %.40q in unknown phase %.40q", h.ID, raw.Phase)
	}
	var err error
	if h.Address, err = netip.ParseAddrPort(raw.HostPort); err != nil && h.Phase == Serving {
		return h, fmt.Errorf("server %.40q has no usable address", h.ID)
	}
	return h, nil
}

// EndpointListCall asks discovery for the full list, or for changes after a revision, for which discovery waits.
type EndpointListCall struct {
	Whole bool
	After uint64
	Wait  time.Duration
}

// AppendEndpointListCall appends the request of a call.
func AppendEndpointListCall(b []byte, host string, l EndpointListCall) []byte {
	b = append(b, "GET "+listPath...)
	if !l.Whole {
		b = strconv.AppendUint(append(b, "?index="...), l.After, 10)
		b = strconv.AppendInt(append(b, "&wait="...), l.Wait.Milliseconds(), 10)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	return append(appendField(b, "Host", host), "\r\n"...)
}
