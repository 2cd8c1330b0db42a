package control

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/testbed/standin/certauthority"
)

// Each fault of a settings file is reported with its line.
func TestFileFaults(t *testing.T) {
	t.Parallel()
	const valid = "name = \"r\"\nlisten = \"127.0.0.1:7461\"\ndisk = \"DIR/control.db\"\nplaintext = true\n"
	dir := t.TempDir()
	for name, c := range map[string]struct{ text, want string }{
		"well":                {valid, ""},
		"a root":              {valid + "upstreams = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nfollow = \"all\"\n", ""},
		"a source":            {valid + "discovery = \"127.0.0.1:1\"\nservice = \"hire\"\n", ""},
		"no name":             {strings.Replace(valid, `"r"`, `"a b"`, 1), ":1: name"},
		"no address":          {strings.Replace(valid, "127.0.0.1:7461", "here", 1), ":2: listen"},
		"no folder":           {strings.Replace(valid, "DIR", "DIR/nowhere", 1), ":3: disk"},
		"an unknown key":      {valid + "upstream = \"127.0.0.1:1\"\n", ":5: unknown key"},
		"not on loopback":     {strings.Replace(valid, "127.0.0.1", "10.0.0.1", 1), ":4: 10.0.0.1"},
		"a bad upstream":      {valid + "upstreams = [\"127.0.0.1:1\",\n  \"there\"]\n", "upstream \"there\""},
		"itself":              {valid + "upstreams = [\"127.0.0.1:7461\"]\n", "this process itself"},
		"follow":              {valid + "follow = \"some\"\n", ":5: follow"},
		"a small budget":      {valid + "out_bytes = 10\n", ":5: out_bytes"},
		"no connections":      {valid + "connections = 0\n", ":5: connections"},
		"a small disk":        {valid + "disk_bytes = 10\n", ":5: disk_bytes"},
		"short deletions":     {valid + "keep_deleted = \"1s\"\n", ":5: keep_deleted"},
		"long return":         {valid + "return_after = \"25h\"\n", ":5: return_after"},
		"a region's name":     {valid + "region = \"no rth\"\n", ":5: region"},
		"two sources":         {valid + "discovery = \"127.0.0.1:1\"\nregistry = \"x\"\nservice = \"s\"\n", ":6: either"},
		"a source of nothing": {valid + "discovery = \"127.0.0.1:1\"\n", "service"},
		"a service alone":     {valid + "service = \"s\"\n", ":5: service"},
		"no keys":             {strings.Replace(valid, "plaintext = true\n", "", 1), "cert"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "control.toml")
			if err := os.WriteFile(path, []byte(strings.ReplaceAll(c.text, "DIR", dir)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			var faults tomlfile.Faults
			switch {
			case c.want == "" && err != nil:
				t.Error(err)
			case c.want == "":
			case !errors.As(err, &faults) || !strings.Contains(faults[0].Error(), c.want):
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

// The example file is valid, apart from paths that must exist on this machine.
func TestExampleFile(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "..", "deploy", "control.example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	authority, err := certauthority.New("authority")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key, ca, err := authority.Write(dir, "control", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "control.toml")
	paths := strings.NewReplacer("/var/lib/fernvane", dir, "/etc/fernvane/control.crt", cert, "/etc/fernvane/control.key", key, "/etc/fernvane/ca.crt", ca)
	if err := os.WriteFile(path, []byte(paths.Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "root-1" || c.Follow != followAll || len(c.UpstreamAddresses) != 2 || c.Keys == nil || c.budget().NodeBytesPerSecond != 16<<10 {
		t.Errorf("got config %+v, want the values of the example file", c)
	}
}
