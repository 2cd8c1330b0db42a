package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args  []string
		code  int
		lines int // on standard error; 0 for any number
	}{
		"serve, a broken configuration": {[]string{"serve", "-config", path}, exitUsage, 1},
		"check, a broken configuration": {[]string{"check", "-config", path}, exitUsage, 1},
		"serve, no such file":           {[]string{"serve", "-config", path + "x"}, exitUsage, 1},
		"serve, no configuration":       {[]string{"serve"}, exitUsage, 1},
		"no command":                    {nil, exitUsage, 0},
		"another command":               {[]string{"dance"}, exitUsage, 0},
		"an unknown flag":               {[]string{"serve", "-quick"}, exitUsage, 0},
		"help":                          {[]string{"help"}, 0, 0},
		"version":                       {[]string{"version"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs strings.Builder
			code := run(c.args, &out, &errs, func(string) string { return "" })
			if lines := strings.Count(errs.String(), "\n"); code != c.code || c.lines > 0 && lines != c.lines {
				t.Errorf("exit %d with %q", code, errs.String())
			}
			if code == 0 && out.Len() == 0 {
				t.Error("nothing is said")
			}
		})
	}
}
