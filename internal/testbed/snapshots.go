package testbed

import (
	"fmt"
	"os"

	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
)

// setUpSnapshots configures each node to store its endpoint list, if the scenario requests it.
func (env *environment) setUpSnapshots() error {
	if env.Scenario.Lists.Start != "kept" {
		return nil
	}
	for _, p := range env.nodes {
		if err := os.MkdirAll(p.snapshotDir(), 0o755); err != nil {
			return err
		}
		text := fmt.Sprintf("dir = %q\ndeployment = %q\nevery = \"200ms\"\n", p.snapshotDir(), env.Scenario.Name)
		if err := os.WriteFile(p.snapshotConfigPath(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// ageSnapshot makes a node's stored endpoint list older, if the scenario requests it. It writes the list again as a new
// generation with earlier times.
func (env *environment) ageSnapshot(n int) error {
	age := env.Scenario.Lists.Age.Std().Milliseconds()
	if env.Scenario.Lists.Start != "kept" || age == 0 {
		return nil
	}
	store, err := snapshot.Open(env.nodes[n].snapshotDir(), 3, wal.OSFileSystem{})
	if err != nil {
		return err
	}
	s, _, err := store.Newest()
	if err != nil || s == nil {
		return err
	}
	s.WrittenUnixMS -= age
	s.ConfirmedUnixMS -= age
	for i := range s.Servers {
		s.Servers[i].AnnouncedUnixMS -= age
		s.Servers[i].ExecutedUnixMS -= min(age, s.Servers[i].ExecutedUnixMS)
	}
	return store.Write(s)
}
