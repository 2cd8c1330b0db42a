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
	maxFileLines     = 400
	maxFunctionLines = 60 // from the keyword func to the closing brace
	wideRowNames     = 3  // names in a row of struct fields from which the row counts as wide
)

// standardMethods are methods of interfaces of the standard library. They need no doc comment.
var standardMethods = map[string]bool{"Error": true, "String": true}

// wordUse counts the uses of a word: in identifiers of code, in identifiers of tests, and as a separate word in pages.
type wordUse struct {
	code     int
	tests    int
	pages    int
	packages map[string]int // uses in identifiers of code by folder
}

// count holds the figures of a source tree.
type count struct {
	lines         int
	packages      map[string]bool // by folder with code: whether one of its files has a package comment
	longFiles     []string
	longFunctions []string
	undocumented  []string
	wideRows      int
	words         map[string]*wordUse // by coined word
	forms         map[string]*wordUse // by form of a word
}

func newCount(words []word) *count {
	c := &count{packages: map[string]bool{}, words: map[string]*wordUse{}, forms: map[string]*wordUse{}}
	for _, w := range words {
		u := &wordUse{packages: map[string]int{}}
		c.words[w.coined] = u
		for _, form := range w.forms {
			c.forms[form] = u
		}
	}
	return c
}

// readTree counts every Go file and every page under root, except in hidden folders and testdata. It skips the glossary itself.
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
		if u := c.forms[strings.ToLower(word)]; u != nil {
			u.pages++
		}
	}
	return nil
}

func (c *count) readCode(path, relative string) error {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	isTest := strings.HasSuffix(relative, "_test.go")
	folder := filepath.ToSlash(filepath.Dir(relative))
	c.countWords(file, folder, isTest)
	if isTest {
		return nil
	}
	lines := fileSet.File(file.Pos()).LineCount()
	c.lines += lines
	if lines > maxFileLines {
		c.longFiles = append(c.longFiles, fmt.Sprintf("%s: %d lines", relative, lines))
	}
	c.packages[folder] = c.packages[folder] || file.Doc != nil
	for _, declaration := range file.Decls {
		c.declaration(fileSet, relative, declaration)
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
			u := c.forms[part]
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

func (c *count) declaration(fileSet *token.FileSet, relative string, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		first, last := fileSet.Position(d.Pos()).Line, fileSet.Position(d.End()).Line
		if lines := last - first + 1; lines > maxFunctionLines {
			c.longFunctions = append(c.longFunctions, fmt.Sprintf("%s:%d: %s has %d lines", relative, first, d.Name.Name, lines))
		}
		if d.Doc == nil && d.Name.IsExported() && !standardMethods[d.Name.Name] && receiverExported(d) {
			c.notDocumented(relative, first, d.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			c.spec(fileSet, relative, d, spec)
		}
	}
}

// spec records exported types, constants and variables without a doc comment. A comment of the group counts as a doc comment, and
// so does a comment at the end of the line of a constant or variable.
func (c *count) spec(fileSet *token.FileSet, relative string, group *ast.GenDecl, spec ast.Spec) {
	line := fileSet.Position(spec.Pos()).Line
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

// receiverExported reports whether a function has no receiver or its receiver type is exported.
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
		if len(row.Names) >= wideRowNames {
			c.wideRows++
		}
	}
}

// topLevelPackages returns the number of folders directly under internal/ that contain packages, at any depth.
func (c *count) topLevelPackages() int {
	folders := map[string]bool{}
	for folder := range c.packages {
		if path, ok := strings.CutPrefix(folder, "internal/"); ok {
			first, _, _ := strings.Cut(path, "/")
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

// details lists the files, functions, names and packages that the table only counts.
func (c *count) details() []string {
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

// topFolders returns the folders with the most uses of a word, with their counts.
func (u *wordUse) topFolders() string {
	const maxShown = 6
	folders := slices.SortedFunc(maps.Keys(u.packages), func(a, b string) int {
		if d := u.packages[b] - u.packages[a]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, folder := range folders[:min(maxShown, len(folders))] {
		parts = append(parts, fmt.Sprintf("%s %d", folder, u.packages[folder]))
	}
	if more := len(folders) - maxShown; more > 0 {
		parts = append(parts, fmt.Sprintf("%d more", more))
	}
	return strings.Join(parts, ", ")
}
