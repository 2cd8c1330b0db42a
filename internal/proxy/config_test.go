package proxy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestConfig(t *testing.T) {
	t.Parallel()
	const valid = `{"name":"n","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"x","limits":{"memory_mb":64,"sockets":256},
		"known":{"revision":1,"members":[]},"settings":{"limits":{"mostHops":2},"trafficTypes":[{"name":"a","targetTime":5,"idempotency":"safe"}]}}`
	for name, c := range map[string]struct {
		old, new  string
		env       string
		wantError string // part of the error, which is one line
	}{
		"valid":             {},
		"listen overridden": {`"127.0.0.1:80"`, `""`, "127.0.0.2:80", ""},
		"no JSON":           {"{", "", "", "invalid"},
		"truncated":         {`"}]}}`, "", "", "unexpected end"},
		"no address":        {`"127.0.0.1:80"`, `"here"`, "", "listen"},
		"no discovery":      {`"127.0.0.1:81"`, `""`, "", "discovery"},
		"no settings":       {`"settings"`, `"settlings"`, "", "no settings"},
		"no traffic types":  {`"trafficTypes"`, `"types"`, "", "no traffic types"},
		"no attempts":       {`"mostHops":2`, `"mostHops":0`, "", "no attempt"},
		"invalid list":      {`"revision":1`, `"revision":"one"`, "", ""},
		"invalid limits":    {`"sockets":256`, `"sockets":-1`, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(strings.Replace(valid, c.old, c.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			cfg, err := LoadConfig(path, func(name string) string {
				if name == "PROXY_LISTEN" {
					return c.env
				}
				return ""
			})
			if c.wantError == "" {
				if err != nil || cfg.Limits.Sockets < 1 || cfg.Limits.Sockets > maxSockets || c.env != "" && cfg.Listen.String() != c.env {
					t.Errorf("got configuration %+v, error %v, want no error", cfg, err)
				}
			} else if err == nil || !strings.Contains(err.Error(), c.wantError) || strings.Contains(err.Error(), "\n") {
				t.Errorf("unexpected error %v", err)
			}
		})
	}
}
