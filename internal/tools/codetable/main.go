// Command codetable prints readability figures of the module's code: packages on one level, long files and functions, exported
// names without a doc comment, findings of the linter, and remaining uses of the words in docs/GLOSSARY.md. It imports no package
// of the module, and no package imports it.
//
//	go run ./internal/tools/codetable [-list] [-lint] [-words] [DIRECTORY]
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// options are the flags of the command.
type options struct {
	list     bool
	lint     bool
	words    bool
	glossary string
	root     string
}

func main() {
	var opts options
	flag.BoolVar(&opts.list, "list", false, "print each long file, long function and undocumented name")
	flag.BoolVar(&opts.lint, "lint", false, "count the findings of staticcheck too, which takes longer")
	flag.BoolVar(&opts.words, "words", false, "print a row for each word of the glossary, with the packages that use it")
	flag.StringVar(&opts.glossary, "glossary", "docs/GLOSSARY.md", "read the words from the tables of this page")
	flag.Parse()
	opts.root = "."
	if flag.NArg() > 0 {
		opts.root = flag.Arg(0)
	}
	if err := run(os.Stdout, opts); err != nil {
		fmt.Fprintln(os.Stderr, "codetable:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, opts options) error {
	page, err := os.ReadFile(opts.glossary)
	if err != nil {
		return err
	}
	words := parseGlossary(string(page))
	c := newCount(words)
	if err := c.readTree(opts.root); err != nil {
		return err
	}
	if opts.words {
		return writeWords(out, c, words)
	}
	findings := "not run"
	if opts.lint {
		if findings, err = lint(opts.root); err != nil {
			return err
		}
	}
	if err := writeTable(out, c, findings); err != nil || !opts.list {
		return err
	}
	_, err = fmt.Fprintf(out, "\n%s\n", strings.Join(c.details(), "\n"))
	return err
}

func writeTable(out io.Writer, c *count, findings string) error {
	code, tests, pages := c.wordTotals()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"lines of Go without tests", c.lines},
		{"packages", len(c.packages)},
		{"packages directly under internal/", c.topLevelPackages()},
		{fmt.Sprintf("files over %d lines, without tests", maxFileLines), len(c.longFiles)},
		{fmt.Sprintf("functions over %d lines, without tests", maxFunctionLines), len(c.longFunctions)},
		{"exported names without a doc comment", len(c.undocumented)},
		{"packages without a doc comment", len(c.undescribed())},
		{fmt.Sprintf("rows of struct fields with %d names or more", wideRowNames), c.wideRows},
		{"findings of staticcheck", findings},
		{"coined words in identifiers, without tests", code},
		{"coined words in identifiers of tests", tests},
		{"coined words in pages", pages},
	} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return w.Flush()
}

func writeWords(out io.Writer, c *count, words []word) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "word\tidentifiers\ttests\tpages\tpackages")
	for _, word := range words {
		uses := c.words[word.coined]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", word.coined, uses.code, uses.tests, uses.pages, uses.topFolders())
	}
	return w.Flush()
}

// lint returns the number of staticcheck findings in the module at root.
func lint(root string) (string, error) {
	command := exec.Command("go", "tool", "staticcheck", "-checks", "all", "./...")
	command.Dir = root
	found, err := command.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", err
	}
	if err != nil && len(found) == 0 {
		return "", fmt.Errorf("run staticcheck in %s: %w: %s", filepath.Clean(root), err, exit.Stderr)
	}
	return fmt.Sprint(strings.Count(string(found), "\n")), nil
}
