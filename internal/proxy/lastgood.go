package proxy

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
)

const lastGoodFileName = "last-good.cbor" // in the directory of the distribution client

// lastGoodFile stores the last good versions of entries whose newer versions are invalid, so that they are in effect after a restart too.
type lastGoodFile struct {
	path string

	mu          sync.Mutex // held during disk I/O
	lastWritten []byte
}

// openLastGood reads the file in a directory. A missing file is empty. After an error the returned file is usable and treated as empty.
func openLastGood(directory string) (*lastGoodFile, []distribution.Entry, error) {
	f := &lastGoodFile{path: filepath.Join(directory, lastGoodFileName)}
	text, err := os.ReadFile(f.path)
	if os.IsNotExist(err) {
		return f, nil, nil
	}
	if err != nil {
		return f, nil, err
	}
	var entries []distribution.Entry
	if err := cbor.Unmarshal(text, &entries); err != nil {
		return f, nil, fmt.Errorf("decode %s: %w", f.path, err)
	}
	entries = slices.DeleteFunc(entries, func(e distribution.Entry) bool { return e.Validate() != nil || e.Deleted })
	f.lastWritten = text
	return f, entries, nil
}

// replace atomically replaces the entries on disk if they have changed. Without entries it removes the file.
func (f *lastGoodFile) replace(entries []distribution.Entry) error {
	slices.SortFunc(entries, func(a, b distribution.Entry) int { return distribution.CompareKeys(a.Key, b.Key) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(entries) == 0 {
		if f.lastWritten == nil {
			return nil
		}
		f.lastWritten = nil
		return os.Remove(f.path)
	}
	text, err := cbor.Marshal(entries)
	if err != nil || bytes.Equal(text, f.lastWritten) {
		return err
	}
	if err := os.WriteFile(f.path+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(f.path+".new", f.path); err != nil {
		return err
	}
	f.lastWritten = text
	return nil
}

// restoreLastGood restores the stored entries as last good versions. ApplyRoutes and ApplyTenants put them in effect if the current versions
// are still invalid.
func (a *distributionApplier) restoreLastGood(entries []distribution.Entry) {
	for _, e := range entries {
		if e.Key.Kind == distribution.KindTenant {
			a.effectiveTenants[e.Key] = e
			continue
		}
		if fragment, err := parseFragment(e); err == nil {
			a.parsed[e.Key] = parsedFragment{lastGood: &fragment, lastGoodEntry: e}
		}
	}
}

// saveLastGood stores on disk the entries that are in effect in place of invalid newer versions.
func (a *distributionApplier) saveLastGood() {
	if a.lastGood == nil {
		return
	}
	a.mu.Lock()
	var entries []distribution.Entry
	for _, p := range a.parsed {
		if p.lastGood != nil && distribution.Compare(p.lastGoodEntry, p.entry) != 0 {
			entries = append(entries, p.lastGoodEntry)
		}
	}
	for key := range a.rejectedTenants {
		if e, isEffective := a.effectiveTenants[key]; isEffective {
			entries = append(entries, e)
		}
	}
	a.mu.Unlock()
	if err := a.lastGood.replace(entries); err != nil {
		a.logger.Error().Err(err).Msg("last good entries not written")
	}
}
