package zookeeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
)

const maxDataBytes = 16 << 10 // maximum size of the data of an entry

// entryData is the JSON data of an entry. It contains the keys of both supported formats.
type entryData struct {
	// Keys of Curator's service discovery.
	Address string      `json:"address"`
	Port    int         `json:"port"`
	Enabled *bool       `json:"enabled"`
	Payload *attributes `json:"payload"`

	// Keys of Twitter's server sets.
	Endpoint *struct {
		Host string `json:"host"`
		Port int    `json:"port"`
	} `json:"serviceEndpoint"`
	Status string `json:"status"`

	attributes
}

// attributes are keys specific to this project, in the entry itself or in its payload.
type attributes struct {
	Zone          string  `json:"zone"`
	MachineKind   string  `json:"flavor"`
	Cell          *int    `json:"cell"`
	Weight        float64 `json:"size"`
	StartedUnixMS int64   `json:"started_ms"`
}

// ParseEntry decodes the data of an entry, which is either JSON or host:port. The error describes the invalid part.
func ParseEntry(id string, data []byte) (endpoints.RegistryEntry, error) {
	entry := endpoints.RegistryEntry{ID: id, Cell: incarnation.UnknownCell, Weight: 1}
	text := strings.TrimSpace(string(data[:min(len(data), maxDataBytes+1)]))
	switch {
	case len(data) > maxDataBytes:
		return entry, fmt.Errorf("%d bytes of data exceed the limit of %d", len(data), maxDataBytes)
	case text == "":
		return entry, errors.New("data is empty")
	case !strings.HasPrefix(text, "{"):
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return entry, fmt.Errorf("data %.60q is neither JSON nor an IP address with a port", text)
		}
		entry.Address = address.String()
		return entry, nil
	}
	var decoded entryData
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		return entry, fmt.Errorf("decode JSON: %v", err)
	}
	return decoded.complete(entry)
}

// complete returns the entry with the fields from its JSON data.
func (decoded *entryData) complete(entry endpoints.RegistryEntry) (endpoints.RegistryEntry, error) {
	host, port := decoded.Address, decoded.Port
	if decoded.Endpoint != nil {
		host, port = decoded.Endpoint.Host, decoded.Endpoint.Port
	}
	address, err := netip.ParseAddr(host)
	if err != nil || port < 1 || port > 65535 {
		return entry, fmt.Errorf("missing or invalid address: host %.60q, port %d", host, port)
	}
	entry.Address = netip.AddrPortFrom(address, uint16(port)).String()
	attrs := decoded.attributes
	if decoded.Payload != nil {
		attrs = *decoded.Payload
	}
	entry.Zone, entry.MachineKind, entry.StartedUnixMS = attrs.Zone, attrs.MachineKind, attrs.StartedUnixMS
	if attrs.Cell != nil {
		entry.Cell = *attrs.Cell
	}
	if attrs.Weight > 0 {
		entry.Weight = attrs.Weight
	}
	entry.IsDraining, err = decoded.isDraining()
	return entry, err
}

// isDraining reports whether the server is draining according to its status; without a status it is up unless disabled.
func (decoded *entryData) isDraining() (bool, error) {
	switch strings.ToUpper(decoded.Status) {
	case "", "ALIVE", "UP", "SERVING":
		return decoded.Enabled != nil && !*decoded.Enabled, nil
	case "DRAINING", "STOPPING", "DEAD", "VANISHED", "STOPPED":
		return true, nil
	}
	return false, fmt.Errorf("unknown status %.40q", decoded.Status)
}
