package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestWordsOfIdentifiers(t *testing.T) {
	t.Parallel()
	for identifier, want := range map[string]string{
		"hop":         "hop",
		"HopTime":     "hop time",
		"newHTTPHop2": "new http hop",
		"hop_id":      "hop id",
		"shop":        "shop",
		"ID":          "id",
		"_":           "",
	} {
		if got := strings.Join(wordsOf(identifier), " "); got != want {
			t.Errorf("%s: got %q, want %q", identifier, got, want)
		}
	}
}

const glossary = "# Words\n\n| word | standard term | where |\n| --- | --- | --- |\n| `hop`, `hops` | attempt | here |\n| `box` | server | there |\n" +
	"\n| where | words |\n| --- | --- |\n| `internal/shop` (its lines) | `cart` | |\n| `internal/shop` | `cart` | |\n\n`hop` in a line of its own is no row.\n"

// sourceTree writes a module with one finding of each kind, each next to a case that is just within the limit, and returns its
// folder.
func sourceTree(t *testing.T) string {
	t.Helper()
	root := t.TempDir()
	body := func(lines int) string { return strings.Repeat("\tprintln()\n", lines) }
	for name, text := range map[string]string{
		"internal/a/a.go": "// Package a is described.\npackage a\n\ntype row struct {\n\tx, y, z int\n\tv, w int\n}\n\n" +
			"func Hops() {}\n\n// Known is described.\nfunc Known() {}\n\nfunc (r row) Inner() {}\n\nfunc (k Kind) String() {}\n\n// Kind is described.\ntype Kind int\n",
		"internal/a/long.go":           "package a\n" + strings.Repeat("\n", 399) + "\nfunc last() {}\n",
		"internal/a/full.go":           "package a\n" + strings.Repeat("\n", 398) + "func most() {}\n",
		"internal/b/c/c.go":            "package c\n\nfunc hop() {\n" + body(59) + "}\n\nfunc box() {\n" + body(58) + "}\n",
		"internal/b/c/c_test.go":       "package c\n\nvar hopTime int\n",
		"internal/b/testdata/wrong.go": "no Go",
		"docs/page.md":                 "A hop, two Hops and a shop; box-like.\n",
		"docs/GLOSSARY.md":             glossary,
	} {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

func TestCounts(t *testing.T) {
	t.Parallel()
	c := newCount(parseGlossary(glossary))
	if err := c.readTree(sourceTree(t)); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"internal/a/long.go: 402 lines",
		"internal/b/c/c.go:3: hop has 61 lines",
		"internal/a/a.go:9: Hops has no doc comment",
		"internal/b/c: no package comment",
	}
	if got := c.details(); !slices.Equal(got, want) {
		t.Errorf("got details\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if len(c.packages) != 2 || c.topLevelPackages() != 2 || c.wideRows != 1 {
		t.Errorf("got %d packages, %d on the top level, %d wide rows; want 2, 2, 1", len(c.packages), c.topLevelPackages(), c.wideRows)
	}
	if code, tests, pages := c.wordTotals(); code != 3 || tests != 1 || pages != 3 {
		t.Errorf("got %d uses in code, %d in tests, %d in pages; want 3, 1, 3", code, tests, pages)
	}
	if len(c.words) != 2 {
		t.Errorf("got words %v, want hop and box", c.words)
	}
	if top := c.words["hop"].topFolders(); top != "internal/a 1, internal/b/c 1" {
		t.Errorf("got top folders %q of hop", top)
	}
}
