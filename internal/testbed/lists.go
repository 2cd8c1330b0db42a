package testbed

import (
	"fmt"
	"os"

	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
)

// keepLists has each node keep its list of servers on a disk of its own, where the scenario says so.
func (w *world) keepLists() error {
	if w.Scenario.Lists.Start != "kept" {
		return nil
	}
	for _, p := range w.nodes {
		if err := os.MkdirAll(p.lists(), 0o755); err != nil {
			return err
		}
		text := fmt.Sprintf("dir = %q\ndeployment = %q\nevery = \"200ms\"\n", p.lists(), w.Scenario.Name)
		if err := os.WriteFile(p.snapshot(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// age makes what a node has kept look older than it is, by a generation that says so.
func (w *world) age(n int) error {
	by := w.Scenario.Lists.Age.Std().Milliseconds()
	if w.Scenario.Lists.Start != "kept" || by == 0 {
		return nil
	}
	store, err := snapshot.Open(w.nodes[n].lists(), 3, wal.OSFileSystem{})
	if err != nil {
		return err
	}
	s, _, err := store.Newest()
	if err != nil || s == nil {
		return err
	}
	s.WrittenUnixMS -= by
	s.ConfirmedUnixMS -= by
	for i := range s.Servers {
		s.Servers[i].AnnouncedUnixMS -= by
		s.Servers[i].ExecutedUnixMS -= min(by, s.Servers[i].ExecutedUnixMS)
	}
	return store.Write(s)
}
