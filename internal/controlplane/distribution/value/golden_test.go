package value

import (
	"encoding/hex"
	"testing"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/incarnation"
)

// TestGoldenValues fixes the encoding of servers' and tenants' values, which are stored, sent and compared.
func TestGoldenValues(t *testing.T) {
	server := incarnation.Entry{ID: "fast-1", StartedUnixMS: 1700000000123, Generation: 2, Condition: incarnation.Draining, Revision: 41,
		Address: "127.0.0.1:8081", Zone: "z1", MachineKind: "large", Cell: 7, Weight: 1.5}
	tenant := Tenant{Allowance: 12.25}
	const (
		goldenServer = "8a66666173742d311b0000018bcfe5687b0201006e3132372e302e302e313a38303831627a31656c6172676507f93e00"
		goldenTenant = "81f94a20"
	)
	t.Run("server", func(t *testing.T) {
		b, err := EncodeServer(server)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(b); got != goldenServer {
			t.Errorf("encoded as\n%s, want\n%s", got, goldenServer)
		}
		golden, err := hex.DecodeString(goldenServer)
		if err != nil {
			t.Fatal(err)
		}
		e := distribution.Entry{Key: distribution.Key{Kind: distribution.KindServer, Name: "fast-1"}, Clock: 41, Value: golden}
		if got, err := DecodeServer(e); err != nil || got != server {
			t.Errorf("decoded as %+v, error %v, want the encoded server", got, err)
		}
	})
	t.Run("tenant", func(t *testing.T) {
		b, err := EncodeTenant(tenant)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(b); got != goldenTenant {
			t.Errorf("encoded as\n%s, want\n%s", got, goldenTenant)
		}
		golden, err := hex.DecodeString(goldenTenant)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeTenant(distribution.Entry{Value: golden}); err != nil || got != tenant {
			t.Errorf("decoded as %+v, error %v, want the encoded tenant", got, err)
		}
	})
}
