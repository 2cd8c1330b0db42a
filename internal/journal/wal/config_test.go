package wal_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "fernvane/internal/journal/wal"
)

// LoadConfig accepts valid files and names the invalid setting of others.
func TestConfig(t *testing.T) {
	dir := t.TempDir()
	for text, wantFault := range map[string]string{
		"dir = \"DIR\"\nwhen_failing = \"deny\"":                      "",
		"dir = \"DIR\"":                                               "must be deny (reject non-idempotent",
		"dir = \"/nowhere\"\nwhen_failing = \"deny\"":                 "f.toml:1: dir",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\npromise = \"all\"":  "f.toml:3: promise",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nkeep = 3":           "unknown key",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nkeep_bytes = 9":     "less than two segments",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nwait_most = \"1m\"": "f.toml:3: wait_most",
		"dir = \"DIR\"\nwhen_failing = \"serve\"\nsegment_bytes = 1":  "segment_bytes",
	} {
		path := filepath.Join(dir, "f.toml")
		os.WriteFile(path, []byte(strings.Replace(text, "DIR", dir, 1)), 0o600)
		if _, err := LoadConfig(path); (err == nil) != (wantFault == "") || err != nil && !strings.Contains(err.Error(), wantFault) {
			t.Errorf("load %q: got error %v", text, err)
		}
	}
}
