// Package value encodes and decodes the values of distributed entries. The value of a server is its incarnation and the value
// of a tenant is its allowance, both as CBOR. The value of a route or a pool is TOML text from an operator's file; package tree
// writes it and package route parses it. The commands, through package tree, and the node use this package. Control processes
// read and write servers' values in package control, without this package's validation.
package value

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/incarnation"
)

// Tenant is the value of a tenant's entry.
type Tenant struct {
	_ struct{} `cbor:",toarray"`

	Allowance float64 // requests per second
}

var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants, so an error is a programming error
	}
	return mode
}

// EncodeServer validates and encodes a server's value. It omits the revision, which is the entry's clock.
func EncodeServer(e incarnation.Entry) ([]byte, error) {
	e.Revision = 0
	if err := validateServer(e); err != nil {
		return nil, err
	}
	return encoding.Marshal(e)
}

// DecodeServer decodes a server's entry. The revision of the result is the entry's clock. A deleted entry yields the condition
// Gone.
func DecodeServer(e distribution.Entry) (incarnation.Entry, error) {
	if e.Deleted {
		return incarnation.Entry{ID: e.Key.Name, Condition: incarnation.Gone, Revision: e.Clock}, nil
	}
	server, err := DecodeServerValue(e.Value)
	if err == nil && server.ID != e.Key.Name {
		err = fmt.Errorf("value names server %.40q, want the name in its key", server.ID)
	}
	server.Revision = e.Clock
	return server, err
}

// DecodeServerValue decodes and validates a server's value. The revision of the result is 0.
func DecodeServerValue(v []byte) (server incarnation.Entry, err error) {
	if err := decoding.Unmarshal(v, &server); err != nil {
		return server, errors.New("decode server: value is invalid")
	}
	return server, validateServer(server)
}

func validateServer(e incarnation.Entry) error {
	switch {
	case e.ID == "":
		return errors.New("server without an id")
	case e.Condition > incarnation.Gone:
		return fmt.Errorf("unknown condition %d", e.Condition)
	case math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) || e.Weight < 0:
		return fmt.Errorf("size %v: want a finite number of at least 0", e.Weight)
	case e.StartedUnixMS < 0:
		return fmt.Errorf("started %d: want Unix time in ms", e.StartedUnixMS)
	}
	if address, err := netip.ParseAddrPort(e.Address); (err != nil || address.Port() == 0) && e.Condition == incarnation.Up {
		return fmt.Errorf("address %.60q: want IP address and port", e.Address)
	}
	return nil
}

// EncodeTenant validates and encodes a tenant's value.
func EncodeTenant(t Tenant) ([]byte, error) {
	if err := validateTenant(t); err != nil {
		return nil, err
	}
	return encoding.Marshal(t)
}

// DecodeTenant decodes and validates the value of a tenant's entry. The entry must not be deleted.
func DecodeTenant(e distribution.Entry) (Tenant, error) {
	var t Tenant
	if err := decoding.Unmarshal(e.Value, &t); err != nil {
		return t, errors.New("decode tenant: value is invalid")
	}
	return t, validateTenant(t)
}

func validateTenant(t Tenant) error {
	if math.IsNaN(t.Allowance) || math.IsInf(t.Allowance, 0) || t.Allowance < 0 {
		return fmt.Errorf("allowance %v: want a finite number of at least 0", t.Allowance)
	}
	return nil
}
