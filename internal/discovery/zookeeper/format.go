// Package zookeeper reads a ZooKeeper-style registry in which servers stand as ephemeral nodes under one path.
package zookeeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"fernvane/internal/discovery/endpoints"
)

const maxDataBytes = 16 << 10 // bytes of an entry

// entry is what JSON data may say; fields of the common recipes stand beside each other.
type entryData struct {
	// Of Curator's service discovery.
	Address string      `json:"address"`
	Port    int         `json:"port"`
	Enabled *bool       `json:"enabled"`
	Payload *attributes `json:"payload"`
	// Of server sets.
	Endpoint *struct {
		Host string `json:"host"`
		Port int    `json:"port"`
	} `json:"serviceEndpoint"`
	Status string `json:"status"`
	attributes
}

// more is what this project reads beside, in the entry itself or in its payload.
type attributes struct {
	Zone    string  `json:"zone"`
	Flavor  string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Size    float64 `json:"size"`
	Started int64   `json:"started_ms"`
}

// ParseEntry reads the data of a registered server, JSON or host:port plain.
func ParseEntry(id string, data []byte) (endpoints.RegistryEntry, error) {
	l := endpoints.RegistryEntry{ID: id, Weight: 1}
	text := strings.TrimSpace(string(data[:min(len(data), maxDataBytes+1)]))
	switch {
	case len(data) > maxDataBytes:
		return l, fmt.Errorf("%d bytes of data: %d at most", len(data), maxDataBytes)
	case text == "":
		return l, errors.New("no data")
	case !strings.HasPrefix(text, "{"):
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return l, fmt.Errorf("%.60q is neither JSON nor an address and port", text)
		}
		l.Address = at.String()
		return l, nil
	}
	var e entryData
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		return l, fmt.Errorf("its JSON cannot be read: %v", err)
	}
	host, port := e.Address, e.Port
	if e.Endpoint != nil {
		host, port = e.Endpoint.Host, e.Endpoint.Port
	}
	at, err := netip.ParseAddr(host)
	if err != nil || port < 1 || port > 65535 {
		return l, fmt.Errorf("no usable address in it: %.60q port %d", host, port)
	}
	l.Address = netip.AddrPortFrom(at, uint16(port)).String()
	m := e.attributes
	if e.Payload != nil {
		m = *e.Payload
	}
	l.Zone, l.MachineKind, l.Cell, l.StartedUnixMS = m.Zone, m.Flavor, m.Cell, m.Started
	if m.Size > 0 {
		l.Weight = m.Size
	}
	switch strings.ToUpper(e.Status) {
	case "", "ALIVE", "UP", "SERVING":
		l.IsDraining = e.Enabled != nil && !*e.Enabled
	case "DRAINING", "STOPPING", "DEAD", "VANISHED", "STOPPED":
		l.IsDraining = true
	default:
		return l, fmt.Errorf("unknown status %.40q", e.Status)
	}
	return l, nil
}
