package tree

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
)

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const hire = `[tenants]
dairy = 40.5
[[servers]]
id = "s1"
address = "127.0.0.1:80"
started = 2026-01-02T03:04:05Z
[[servers]]
id = "s2"
address = "127.0.0.1:81"
size = 0.5
draining = true
[[pools]]
name = "quick"
sites = ["north"]
[[routes]]
name = "checks"
type   =   "check"
hop_time = "250ms"
headers = {x = "1"}
`

// TestLoad checks the entries of a directory's files. A file's service is the one that it names or, by default, its base name.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "hire.toml"), hire)
	writeFile(t, filepath.Join(dir, "all.toml"), "service = \"\"\n[[routes]]\nname = \"checks\"\ntype = \"check\"\n")
	writeFile(t, filepath.Join(dir, "notes.txt"), "ignored: no .toml suffix")
	tr, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for key, v := range tr.Values {
		got = append(got, key.String()+": "+strings.Join(Lines(key.Kind, v), ", "))
	}
	slices.Sort(got)
	want := []string{
		"/route/checks: type = 'check'",
		"hire/pool/quick: sites = ['north']",
		"hire/route/checks: hop_time = '250ms', type = 'check', , [headers], x = '1'",
		"hire/server/s1: address = \"127.0.0.1:80\", condition = up, size = 1, started = 2026-01-02T03:04:05Z",
		"hire/server/s2: address = \"127.0.0.1:81\", condition = draining, size = 0.5",
		"hire/tenant/dairy: allowance = 40.5",
	}
	if !slices.Equal(got, want) || !slices.Equal(tr.Services, []string{"", "hire"}) || !tr.HasServers {
		t.Errorf("got entries %q, services %q, want those of all.toml and hire.toml", got, tr.Services)
	}
}

// TestLoadFaults checks that each fault is reported with its file and line.
func TestLoadFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"an unknown key":        {"hires = 1", []string{"a.toml:1: unknown key \"hires\""}},
		"a route's unknown key": {"[[routes]]\nname = \"r\"\nhop = 2", []string{"a.toml:3: unknown key"}},
		"a wrong type":          {"[[routes]]\nname = \"r\"\nhops = \"two\"", []string{"a.toml:3: "}},
		"no name":               {"[[routes]]\ntype = \"check\"", []string{"a.toml:1: "}},
		"a duplicate pool":      {"[[pools]]\nname = \"p\"\nsites = [\"a\"]\n[[pools]]\nname = \"p\"\nsites = [\"b\"]", []string{"a.toml:4: duplicate pool \"p\""}},
		"no address":            {"[[servers]]\nid = \"s\"", []string{"a.toml:1: address \"\""}},
		"no id":                 {"[[servers]]\naddress = \"127.0.0.1:1\"", []string{"a.toml:1: server without an id"}},
		"a negative allowance":  {"[tenants]\ndairy = 1.0\nmill = -1.0", []string{"a.toml:3: allowance -1"}},
		"two faults":            {"[tenants]\nmill = -1.0\n[[servers]]\nid = \"s\"", []string{"a.toml:2: ", "a.toml:3: "}},
		"a long name":           {"[tenants]\n" + strings.Repeat("x", 300) + " = 1.0", []string{"a.toml:2: "}},
		"invalid TOML":          {"[[routes", []string{"a.toml:1: "}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.toml")
			writeFile(t, path, c.text)
			_, err := Load(path)
			if err == nil {
				t.Fatal("got no error")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != len(c.want) {
				t.Fatalf("got faults %q, want as many as in the case", lines)
			}
			for i, want := range c.want {
				if !strings.Contains(lines[i], want) {
					t.Errorf("got %q, want %q", lines[i], want)
				}
			}
		})
	}
	if _, err := Load(t.TempDir()); err == nil || !strings.Contains(err.Error(), "directory contains no .toml files") {
		t.Errorf("empty directory: got error %v, want one about missing files", err)
	}
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "a.toml"), "")
	writeFile(t, filepath.Join(dir, "b.toml"), "service = \"a\"")
	if _, err := Load(dir); err == nil || !strings.Contains(err.Error(), "b.toml:1: service \"a\" also defined in another file") {
		t.Errorf("duplicate service: got error %v, want one in b.toml", err)
	}
}

// TestDifferences checks that values are compared by content, and only for the tree's services and the requested kinds.
func TestDifferences(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hire.toml")
	writeFile(t, path, hire)
	tr, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	all := []distribution.Kind{distribution.KindServer, distribution.KindRoute, distribution.KindTenant, distribution.KindPool}
	entry := func(service string, kind distribution.Kind, name string, v []byte) distribution.Entry {
		return distribution.Entry{Key: distribution.Key{Service: service, Kind: kind, Name: name}, Value: v}
	}
	parsed := func(kind distribution.Kind, name, text string) distribution.Entry {
		v, err := ParseEntry("f", []byte(text), distribution.Key{Service: "hire", Kind: kind, Name: name})
		if err != nil {
			t.Fatal(err)
		}
		return entry("hire", kind, name, v)
	}
	var stored []distribution.Entry
	for key, v := range tr.Values {
		stored = append(stored, distribution.Entry{Key: key, Value: v})
	}
	reinstated, err := value.DecodeServerValue(tr.Values[distribution.Key{Service: "hire", Kind: distribution.KindServer, Name: "s1"}])
	if err != nil {
		t.Fatal(err)
	}
	reinstated.Generation = 3
	reinstatedValue, err := value.EncodeServer(reinstated)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func([]distribution.Entry) []distribution.Entry
		kinds  []distribution.Kind
		want   string
	}{
		"nothing": {func(h []distribution.Entry) []distribution.Entry { return h }, all, ""},
		"equal content in another form": {func(h []distribution.Entry) []distribution.Entry {
			return append(without(h, "checks"), parsed(distribution.KindRoute, "checks", "[[routes]]\nheaders = {\"x\"=\"1\"}\nhop_time=\"250ms\"\ntype=\"check\""))
		}, all, ""},
		"another generation of a server": {func(h []distribution.Entry) []distribution.Entry {
			return append(without(h, "s1"), entry("hire", distribution.KindServer, "s1", reinstatedValue))
		}, all, ""},
		"another value": {func(h []distribution.Entry) []distribution.Entry {
			return append(without(h, "dairy"), parsed(distribution.KindTenant, "dairy", "allowance = 7.0"))
		}, all, "~ hire/tenant/dairy\n    - allowance = 7\n    + allowance = 40.5\n"},
		"a missing entry": {func(h []distribution.Entry) []distribution.Entry { return without(h, "quick") }, all,
			"+ hire/pool/quick\n    + sites = ['north']\n"},
		"an extra entry": {func(h []distribution.Entry) []distribution.Entry {
			return append(h, parsed(distribution.KindRoute, "old", "type = \"book\""))
		}, all, "- hire/route/old\n    - type = 'book'\n"},
		"of another service": {func(h []distribution.Entry) []distribution.Entry {
			return append(h, entry("yard", distribution.KindRoute, "old", nil))
		}, all, ""},
		"of another kind": {func(h []distribution.Entry) []distribution.Entry { return without(h, "s1") }, all[1:], ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			for _, d := range tr.Differences(c.change(slices.Clone(stored)), c.kinds) {
				got += d.String()
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func without(stored []distribution.Entry, name string) []distribution.Entry {
	return slices.DeleteFunc(stored, func(e distribution.Entry) bool { return e.Key.Name == name })
}

// TestParseEntry checks the value of a single entry's text, or the line of its fault.
func TestParseEntry(t *testing.T) {
	for name, c := range map[string]struct {
		kind       distribution.Kind
		text, want string
		fault      string
	}{
		"a route":                 {distribution.KindRoute, "type = \"check\"\nhops = 2", "hops = 2, type = 'check'", ""},
		"a route with its header": {distribution.KindRoute, "[[routes]]\nname = \"n\"\ntype = \"check\"", "type = 'check'", ""},
		"a route of another name": {distribution.KindRoute, "name = \"m\"", "", "f: text defines name \"m\", want name of entry"},
		"an unknown key":          {distribution.KindRoute, "type = \"check\"\nhop = 2", "", "f:2: unknown key"},
		"a pool":                  {distribution.KindPool, "servers = [\"s*\"]", "servers = ['s*']", ""},
		"a tenant":                {distribution.KindTenant, "allowance = 0", "allowance = 0", ""},
		"no allowance":            {distribution.KindTenant, "", "", "f: allowance is missing"},
		"a negative allowance":    {distribution.KindTenant, "\nallowance = -2.0", "", "f:2: allowance -2"},
		"a server":                {distribution.KindServer, "address = \"127.0.0.1:1\"", "address = \"127.0.0.1:1\", condition = up, size = 1", ""},
		"no address":              {distribution.KindServer, "size = 2.0", "", "f: address \"\""},
		"another server's id":     {distribution.KindServer, "id = \"m\"\naddress = \"127.0.0.1:1\"", "", "f:1: file defines server \"m\", want \"n\""},
	} {
		t.Run(name, func(t *testing.T) {
			v, err := ParseEntry("f", []byte(c.text), distribution.Key{Service: "s", Kind: c.kind, Name: "n"})
			if c.fault != "" {
				if err == nil || !strings.HasPrefix(err.Error(), c.fault) {
					t.Errorf("got error %v, want %q", err, c.fault)
				}
				return
			}
			if got := strings.Join(Lines(c.kind, v), ", "); err != nil || got != c.want {
				t.Errorf("got lines %q, error %v", got, err)
			}
		})
	}
}
