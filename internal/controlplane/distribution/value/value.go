// Package value encodes and decodes the values of distributed entries. A server's value is its incarnation and a tenant's its
// allowance, both as CBOR; a route's and a pool's is the TOML text of an operator's file, which package tree writes and package
// route reads. Callers are the commands, by package tree, and the
// node. Control processes read and write servers' values in package control, without this package's validation.
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

// Tenant is a tenant's value.
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
		panic(err) // the options are this file's own
	}
	return mode
}

// EncodeServer returns a server's value. The revision is left out, since it is that of the entry.
func EncodeServer(e incarnation.Entry) ([]byte, error) {
	e.Revision = 0
	if err := validateServer(e); err != nil {
		return nil, err
	}
	return encoding.Marshal(e)
}

// DecodeServer decodes a server's entry as an incarnation at the entry's revision. A deletion is one that is gone.
func DecodeServer(e distribution.Entry) (incarnation.Entry, error) {
	if e.Deleted {
		return incarnation.Entry{ID: e.Key.Name, Condition: incarnation.Gone, Revision: e.Clock}, nil
	}
	server, err := DecodeServerValue(e.Value)
	if err == nil && server.ID != e.Key.Name {
		err = fmt.Errorf("its value is of server %.40q", server.ID)
	}
	server.Revision = e.Clock
	return server, err
}

// DecodeServerValue decodes a server's value without its entry.
func DecodeServerValue(v []byte) (server incarnation.Entry, err error) {
	if err := decoding.Unmarshal(v, &server); err != nil {
		return server, errors.New("the value of a server cannot be read")
	}
	return server, validateServer(server)
}

func validateServer(e incarnation.Entry) error {
	switch {
	case e.ID == "":
		return errors.New("a server without an id")
	case e.Condition > incarnation.Gone:
		return fmt.Errorf("unknown condition %d", e.Condition)
	case math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) || e.Weight < 0:
		return fmt.Errorf("size %v: a number of 0 or more is wanted", e.Weight)
	case e.StartedUnixMS < 0:
		return fmt.Errorf("started %d: Unix time in ms is wanted", e.StartedUnixMS)
	}
	if at, err := netip.ParseAddrPort(e.Address); (err != nil || at.Port() == 0) && e.Condition == incarnation.Up {
		return fmt.Errorf("address %.60q: an address and a port are wanted", e.Address)
	}
	return nil
}

// EncodeTenant returns a tenant's value.
func EncodeTenant(t Tenant) ([]byte, error) {
	if err := validateTenant(t); err != nil {
		return nil, err
	}
	return encoding.Marshal(t)
}

// DecodeTenant decodes a tenant's entry that is not deleted.
func DecodeTenant(e distribution.Entry) (Tenant, error) {
	var t Tenant
	if err := decoding.Unmarshal(e.Value, &t); err != nil {
		return t, errors.New("the value of a tenant cannot be read")
	}
	return t, validateTenant(t)
}

func validateTenant(t Tenant) error {
	if math.IsNaN(t.Allowance) || math.IsInf(t.Allowance, 0) || t.Allowance < 0 {
		return fmt.Errorf("allowance %v: a number of 0 or more is wanted", t.Allowance)
	}
	return nil
}
