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

const lastGoodFileName = "last-good.cbor" // in the folder of the distribution

// lastGoodFile keeps on disk the entries that hold in place of newer versions that cannot be used, so that they hold after a restart too.
type lastGoodFile struct {
	path string

	mu          sync.Mutex // held over the disk
	lastWritten []byte
}

// openLastGood reads the file of a folder. One that cannot be read is an error, and counts as empty.
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
		return f, nil, fmt.Errorf("%s cannot be read: %w", f.path, err)
	}
	entries = slices.DeleteFunc(entries, func(e distribution.Entry) bool { return e.Validate() != nil || e.Deleted })
	f.lastWritten = text
	return f, entries, nil
}

// replace replaces the entries on disk in one step, where they have changed.
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

// restoreLastGood takes over the entries that held before the start.
func (a *distributionApplier) restoreLastGood(entries []distribution.Entry) {
	for _, e := range entries {
		if e.Key.Kind == distribution.KindTenant {
			a.tenantsInForce[e.Key] = e
			continue
		}
		if fragment, err := parseFragment(e); err == nil {
			a.parsed[e.Key] = parsedFragment{lastGood: &fragment, lastGoodEntry: e}
		}
	}
}

// saveLastGood writes the entries that hold in place of newer versions.
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
		if e, isInForce := a.tenantsInForce[key]; isInForce {
			entries = append(entries, e)
		}
	}
	a.mu.Unlock()
	if err := a.lastGood.replace(entries); err != nil {
		a.logger.Error().Err(err).Msg("last good entries not written")
	}
}
