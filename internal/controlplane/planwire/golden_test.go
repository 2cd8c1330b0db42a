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

var update = flag.Bool("update", false, "write the golden files anew; only for a new version of the protocol")

var goldenIncarnation = incarnation.Entry{ID: "fast-1", Up: 1700000000123, Turn: 2, Condition: incarnation.Draining, Revision: 41,
	Address: "127.0.0.1:8081", Zone: "z1", Flavor: "large", Cell: 7, Size: 1.5}

// goldenFrames has one frame of each kind, with every field set to a value of its own.
var goldenFrames = []struct {
	name string
	kind Kind
	body any
}{
	{"hello", HelloKind, &Hello{Version: Version, Name: "n1"}},
	{"refusal", RefusalKind, &Refusal{Reason: "too many"}},
	{"report", ReportKind, &plan.Report{
		Sent: 90 * time.Second, Span: 500 * time.Millisecond,
		Figures: plan.Figures{Nodes: 12, ColdFor: 8 * time.Second, ColdStart: 0.25, FallMultiple: 2.5, Allowances: 300},
		Flying:  5,
		Types:   []plan.Type{{Name: "hire-check", Target: 200 * time.Millisecond, Asked: 31, Denied: 3}},
		Tenants: []plan.Tenant{{Name: "big", Allowance: 120, Asked: 17}},
		Servers: []plan.Server{{ID: "fast-1", Answered: []plan.Answered{{Type: 1, N: 23, Sum: 460 * time.Millisecond}}, TimedOut: 2, Failed: 4}},
		Held:    []plan.Held{{ID: "fast-2", Share: 0.75}},
		Above:   []incarnation.Entry{goldenIncarnation},
	}},
	{"change", ChangeKind, &plan.Change{
		Start: 1700000000000, Number: 9, Heard: 91 * time.Second, Seen: 20, Nodes: 22, Admit: 0.875,
		Within:  []plan.Within{{Tenant: "big", Share: 0.5}},
		Servers: []plan.Share{{ID: "fast-1", Share: 0.125, Avoid: true, Pace: 3.5, Rest: 4 * time.Second}},
		Dropped: []string{"slow-3"},
		Lives:   []incarnation.Entry{goldenIncarnation},
	}},
}

// TestGoldenFrames pins the bytes of each frame between forwarders and planners, which other versions of the program read.
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
				t.Errorf("written as\n%x, was\n%x", written, golden)
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
				t.Errorf("read as kind %d\n%+v, was kind %d\n%+v", kind, read.Elem(), c.kind, c.body)
			}
		})
	}
}

// goldenBytes reads the golden file of a frame.
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

// requireFieldsSet fails on a field that is zero: its place in the bytes would not be pinned.
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
