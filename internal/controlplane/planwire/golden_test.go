package planwire

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/discovery/incarnation"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for a new version of the protocol")

var goldenIncarnation = incarnation.Entry{ID: "fast-1", StartedUnixMS: 1700000000123, Generation: 2, Condition: incarnation.Draining, Revision: 41,
	Address: "127.0.0.1:8081", Zone: "z1", MachineKind: "large", Cell: 7, Weight: 1.5}

// goldenFrames contains one frame of each kind. Every field has a nonzero value.
var goldenFrames = []struct {
	name string
	kind Kind
	body any
}{
	{"hello", HelloKind, &Hello{Version: Version, Name: "n1"}},
	{"refusal", RejectionKind, &Rejection{Reason: "too many"}},
	{"report", ReportKind, &plan.Report{
		SentAt: 90 * time.Second, Interval: 500 * time.Millisecond,
		Settings:          plan.ForwarderSettings{Nodes: 12, SlowStartDuration: 8 * time.Second, InitialCapacity: 0.25, CrashLoadFactor: 2.5, TotalAllowance: 300},
		InFlight:          5,
		Types:             []plan.TypeReport{{Name: "hire-check", TargetTime: 200 * time.Millisecond, Requests: 31, Rejected: 3}},
		Tenants:           []plan.TenantReport{{Name: "big", Allowance: 120, Requests: 17}},
		Servers:           []plan.ServerReport{{ID: "fast-1", Completions: []plan.Completions{{TypeIndex: 1, Count: 23, TotalLatency: 460 * time.Millisecond}}, TimedOut: 2, Failed: 4}},
		CurrentShares:     []plan.CurrentShare{{ID: "fast-2", Share: 0.75}},
		NewerIncarnations: []incarnation.Entry{goldenIncarnation},
	}},
	{"change", ChangeKind, &plan.Change{
		PlannerStartMs: 1700000000000, Number: 9, ReportSentAt: 91 * time.Second, ReportingForwarders: 20, Nodes: 22, AdmittedShare: 0.875,
		WithinAllowance: []plan.TenantShare{{Tenant: "big", Share: 0.5}},
		Servers:         []plan.ServerShare{{ID: "fast-1", Share: 0.125, IsAvoided: true, SlowStartRate: 3.5, EjectionRemaining: 4 * time.Second}},
		RemovedServers:  []string{"slow-3"},
		Incarnations:    []incarnation.Entry{goldenIncarnation},
	}},
}

// TestGoldenFrames compares the encoding of each frame kind with a golden file, because other versions of the program must decode it.
func TestGoldenFrames(t *testing.T) {
	for _, c := range goldenFrames {
		t.Run(c.name, func(t *testing.T) {
			requireFieldsSet(t, reflect.ValueOf(c.body).Elem(), c.name)
			written, err := Append(nil, c.kind, c.body)
			if err != nil {
				t.Fatal(err)
			}
			golden := goldenBytes(t, c.name, written)
			if !bytes.Equal(written, golden) {
				t.Errorf("got encoded frame\n%x, want\n%x", written, golden)
			}
			kind, body, err := Read(bytes.NewReader(golden), nil)
			if err != nil {
				t.Fatal(err)
			}
			read := reflect.New(reflect.TypeOf(c.body).Elem())
			if err := Decode(body, read.Interface()); err != nil {
				t.Fatal(err)
			}
			if kind != c.kind || !reflect.DeepEqual(read.Interface(), c.body) {
				t.Errorf("got decoded frame of kind %d\n%+v, want kind %d\n%+v", kind, read.Elem(), c.kind, c.body)
			}
		})
	}
}

// goldenBytes returns the content of a frame's golden file.
func goldenBytes(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "frames", name+".hex")
	if *update {
		if err := os.WriteFile(path, []byte(hex.EncodeToString(written)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return golden
}

// requireFieldsSet fails the test for each field that is zero, because the golden file would not verify the position of such a field.
func requireFieldsSet(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	switch {
	case v.IsZero():
		t.Errorf("%s is not set", path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Name != "_" {
				requireFieldsSet(t, v.Field(i), path+"."+field.Name)
			}
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			requireFieldsSet(t, v.Index(i), path+"[]")
		}
	}
}
