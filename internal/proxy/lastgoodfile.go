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

// lastGood keeps on disk the entries that hold in place of newer ones which cannot be used, so that they hold after a
// restart too. There are few, and the file is written when they change.
type lastGoodFile struct {
	path string

	mu          sync.Mutex // held over the disk
	lastWritten []byte
}

// openLastGood reads what was kept. A file of no use is told, and counts as empty.
func openLastGood(directory string) (*lastGoodFile, []distribution.Entry, error) {
	g := &lastGoodFile{path: filepath.Join(directory, lastGoodFileName)}
	text, err := os.ReadFile(g.path)
	if os.IsNotExist(err) {
		return g, nil, nil
	}
	if err != nil {
		return g, nil, err
	}
	var entries []distribution.Entry
	if err := cbor.Unmarshal(text, &entries); err != nil {
		return g, nil, fmt.Errorf("%s cannot be read: %v", g.path, err)
	}
	entries = slices.DeleteFunc(entries, func(e distribution.Entry) bool { return e.Validate() != nil || e.Deleted })
	g.lastWritten = text
	return g, entries, nil
}

// keep replaces what is kept, in one step.
func (g *lastGoodFile) replace(entries []distribution.Entry) error {
	slices.SortFunc(entries, func(a, b distribution.Entry) int { return distribution.CompareKeys(a.Key, b.Key) })
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(entries) == 0 {
		if g.lastWritten == nil {
			return nil
		}
		g.lastWritten = nil
		return os.Remove(g.path)
	}
	text, err := cbor.Marshal(entries)
	if err != nil || bytes.Equal(text, g.lastWritten) {
		return err
	}
	if err := os.WriteFile(g.path+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(g.path+".new", g.path); err != nil {
		return err
	}
	g.lastWritten = text
	return nil
}
