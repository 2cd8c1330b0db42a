package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	longFile     = 400 // lines that a file has at most
	longFunction = 60  // lines that a function has at most, from func to its brace
	crowdedRow   = 3   // names in one row of struct fields
)

// wellKnown are methods whose meaning the standard library fixes.
var wellKnown = map[string]bool{"Error": true, "String": true}

// use is how often a word stands in identifiers of code and of tests, and as a word of its own in pages.
type use struct {
	code     int
	tests    int
	pages    int
	packages map[string]int // identifiers of code by folder
}

// count is what was found in a tree.
type count struct {
	lines         int
	packages      map[string]bool // folders with code, and whether one of their files describes the package
	longFiles     []string
	longFunctions []string
	undocumented  []string
	crowded       int
	words         map[string]*use
	form          map[string]*use // by form of a word
}

func newCount(words []word) *count {
	c := &count{packages: map[string]bool{}, words: map[string]*use{}, form: map[string]*use{}}
	for _, w := range words {
		u := &use{packages: map[string]int{}}
		c.words[w.coined] = u
		for _, form := range w.forms {
			c.form[form] = u
		}
	}
	return c
}

// readTree takes in every Go file and every page under root, leaving out hidden folders, testdata and the glossary itself.
func (c *count) readTree(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() {
			if path != root && (strings.HasPrefix(name, ".") || name == "testdata") {
				return filepath.SkipDir
			}
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		switch filepath.Ext(name) {
		case ".go":
			return c.readCode(path, filepath.ToSlash(relative))
		case ".md":
			if name != "GLOSSARY.md" {
				return c.readPage(path)
			}
		}
		return nil
	})
}

func (c *count) readPage(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	notLetter := func(r rune) bool { return r > 127 || !isLetter(byte(r)) }
	for _, word := range strings.FieldsFunc(string(text), notLetter) {
		if u := c.form[strings.ToLower(word)]; u != nil {
			u.pages++
		}
	}
	return nil
}

func (c *count) readCode(path, relative string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	isTest := strings.HasSuffix(relative, "_test.go")
	folder := filepath.ToSlash(filepath.Dir(relative))
	c.countWords(file, folder, isTest)
	if isTest {
		return nil
	}
	lines := files.File(file.Pos()).LineCount()
	c.lines += lines
	if lines > longFile {
		c.longFiles = append(c.longFiles, fmt.Sprintf("%s: %d lines", relative, lines))
	}
	c.packages[folder] = c.packages[folder] || file.Doc != nil
	for _, declaration := range file.Decls {
		c.declaration(files, relative, declaration)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if s, ok := n.(*ast.StructType); ok {
			c.structRows(s)
		}
		return true
	})
	return nil
}

func (c *count) countWords(file *ast.File, folder string, isTest bool) {
	ast.Inspect(file, func(n ast.Node) bool {
		name, ok := n.(*ast.Ident)
		if !ok {
			return true
		}
		for _, part := range wordsOf(name.Name) {
			u := c.form[part]
			switch {
			case u == nil:
			case isTest:
				u.tests++
			default:
				u.code++
				u.packages[folder]++
			}
		}
		return true
	})
}

func (c *count) declaration(files *token.FileSet, relative string, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		first, last := files.Position(d.Pos()).Line, files.Position(d.End()).Line
		if lines := last - first + 1; lines > longFunction {
			c.longFunctions = append(c.longFunctions, fmt.Sprintf("%s:%d: %s has %d lines", relative, first, d.Name.Name, lines))
		}
		if d.Doc == nil && d.Name.IsExported() && !wellKnown[d.Name.Name] && receiverExported(d) {
			c.notDocumented(relative, first, d.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			c.spec(files, relative, d, spec)
		}
	}
}

// spec counts exported types, and exported constants and variables whose group has no comment either.
func (c *count) spec(files *token.FileSet, relative string, group *ast.GenDecl, spec ast.Spec) {
	line := files.Position(spec.Pos()).Line
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Name.IsExported() && s.Doc == nil && group.Doc == nil {
			c.notDocumented(relative, line, s.Name.Name)
		}
	case *ast.ValueSpec:
		if s.Doc != nil || s.Comment != nil || group.Doc != nil {
			return
		}
		for _, name := range s.Names {
			if name.IsExported() {
				c.notDocumented(relative, line, name.Name)
			}
		}
	}
}

func (c *count) notDocumented(relative string, line int, name string) {
	c.undocumented = append(c.undocumented, fmt.Sprintf("%s:%d: %s has no doc comment", relative, line, name))
}

// receiverExported is false for methods of types that the package keeps to itself.
func receiverExported(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	for {
		switch r := receiver.(type) {
		case *ast.StarExpr:
			receiver = r.X
		case *ast.IndexExpr:
			receiver = r.X
		case *ast.Ident:
			return r.IsExported()
		default:
			return true
		}
	}
}

func (c *count) structRows(s *ast.StructType) {
	for _, row := range s.Fields.List {
		if len(row.Names) >= crowdedRow {
			c.crowded++
		}
	}
}

// oneLevel is how many folders directly under internal/ hold a package or lead to one.
func (c *count) oneLevel() int {
	folders := map[string]bool{}
	for folder := range c.packages {
		if below, ok := strings.CutPrefix(folder, "internal/"); ok {
			first, _, _ := strings.Cut(below, "/")
			folders[first] = true
		}
	}
	return len(folders)
}

func (c *count) undescribed() (folders []string) {
	for folder, described := range c.packages {
		if !described {
			folders = append(folders, folder+": no package comment")
		}
	}
	slices.Sort(folders)
	return folders
}

// named lists all that the table counts by number alone.
func (c *count) named() []string {
	return slices.Concat(c.longFiles, c.longFunctions, c.undocumented, c.undescribed())
}

func (c *count) wordTotals() (code, tests, pages int) {
	for _, u := range c.words {
		code += u.code
		tests += u.tests
		pages += u.pages
	}
	return code, tests, pages
}

// most names the folders that use a word most, with counts.
func (u *use) most() string {
	const shown = 6
	folders := slices.SortedFunc(maps.Keys(u.packages), func(a, b string) int {
		if d := u.packages[b] - u.packages[a]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, folder := range folders[:min(shown, len(folders))] {
		parts = append(parts, fmt.Sprintf("%s %d", folder, u.packages[folder]))
	}
	if more := len(folders) - shown; more > 0 {
		parts = append(parts, fmt.Sprintf("%d more", more))
	}
	return strings.Join(parts, ", ")
}
