package zookeeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"fernvane/internal/discovery/endpoints"
)

const maxDataBytes = 16 << 10 // of an entry

// entryData is what an entry's JSON may say. The keys of both common recipes stand side by side.
type entryData struct {
	// Curator's service discovery.
	Address string      `json:"address"`
	Port    int         `json:"port"`
	Enabled *bool       `json:"enabled"`
	Payload *attributes `json:"payload"`

	// Server sets.
	Endpoint *struct {
		Host string `json:"host"`
		Port int    `json:"port"`
	} `json:"serviceEndpoint"`
	Status string `json:"status"`

	attributes
}

// attributes are keys of this project, in the entry itself or in its payload.
type attributes struct {
	Zone          string  `json:"zone"`
	MachineKind   string  `json:"flavor"`
	Cell          int     `json:"cell"`
	Weight        float64 `json:"size"`
	StartedUnixMS int64   `json:"started_ms"`
}

// ParseEntry reads the data of an entry, JSON or plain host:port. The error says what is wrong with it.
func ParseEntry(id string, data []byte) (endpoints.RegistryEntry, error) {
	entry := endpoints.RegistryEntry{ID: id, Weight: 1}
	text := strings.TrimSpace(string(data[:min(len(data), maxDataBytes+1)]))
	switch {
	case len(data) > maxDataBytes:
		return entry, fmt.Errorf("%d bytes of data: %d at most", len(data), maxDataBytes)
	case text == "":
		return entry, errors.New("no data")
	case !strings.HasPrefix(text, "{"):
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return entry, fmt.Errorf("%.60q is neither JSON nor an address and port", text)
		}
		entry.Address = address.String()
		return entry, nil
	}
	var e entryData
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		return entry, fmt.Errorf("its JSON cannot be read: %v", err)
	}
	return e.complete(entry)
}

// complete returns an entry with what its JSON says.
func (e *entryData) complete(entry endpoints.RegistryEntry) (endpoints.RegistryEntry, error) {
	host, port := e.Address, e.Port
	if e.Endpoint != nil {
		host, port = e.Endpoint.Host, e.Endpoint.Port
	}
	address, err := netip.ParseAddr(host)
	if err != nil || port < 1 || port > 65535 {
		return entry, fmt.Errorf("no usable address in it: %.60q port %d", host, port)
	}
	entry.Address = netip.AddrPortFrom(address, uint16(port)).String()
	a := e.attributes
	if e.Payload != nil {
		a = *e.Payload
	}
	entry.Zone, entry.MachineKind, entry.Cell, entry.StartedUnixMS = a.Zone, a.MachineKind, a.Cell, a.StartedUnixMS
	if a.Weight > 0 {
		entry.Weight = a.Weight
	}
	entry.IsDraining, err = e.isDraining()
	return entry, err
}

// isDraining reports what the entry says of the server's condition; without a status the server is up unless disabled.
func (e *entryData) isDraining() (bool, error) {
	switch strings.ToUpper(e.Status) {
	case "", "ALIVE", "UP", "SERVING":
		return e.Enabled != nil && !*e.Enabled, nil
	case "DRAINING", "STOPPING", "DEAD", "VANISHED", "STOPPED":
		return true, nil
	}
	return false, fmt.Errorf("unknown status %.40q", e.Status)
}
