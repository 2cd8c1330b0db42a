// Command codetable prints how readable the module's code is in figures: packages on one level, long files and functions, exported
// names without a doc comment, findings of the linter, and the words of docs/GLOSSARY.md that still stand. It uses nothing of the
// module and nothing of the module uses it.
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
	var o options
	flag.BoolVar(&o.list, "list", false, "name each long file, long function and undocumented name")
	flag.BoolVar(&o.lint, "lint", false, "count staticcheck's findings as well, which takes longer")
	flag.BoolVar(&o.words, "words", false, "print a row for each word of the glossary, and the packages that use it")
	flag.StringVar(&o.glossary, "glossary", "docs/GLOSSARY.md", "the page whose table names the words")
	flag.Parse()
	o.root = "."
	if flag.NArg() > 0 {
		o.root = flag.Arg(0)
	}
	if err := run(os.Stdout, o); err != nil {
		fmt.Fprintln(os.Stderr, "codetable:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, o options) error {
	page, err := os.ReadFile(o.glossary)
	if err != nil {
		return err
	}
	words := parseGlossary(string(page))
	c := newCount(words)
	if err := c.readTree(o.root); err != nil {
		return err
	}
	if o.words {
		return writeWords(out, c, words)
	}
	findings := "not run"
	if o.lint {
		if findings, err = lint(o.root); err != nil {
			return err
		}
	}
	if err := writeTable(out, c, findings); err != nil || !o.list {
		return err
	}
	_, err = fmt.Fprintf(out, "\n%s\n", strings.Join(c.named(), "\n"))
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
		{"packages directly under internal/", c.oneLevel()},
		{fmt.Sprintf("files over %d lines, without tests", longFile), len(c.longFiles)},
		{fmt.Sprintf("functions over %d lines, without tests", longFunction), len(c.longFunctions)},
		{"exported names without a doc comment", len(c.undocumented)},
		{"packages without a doc comment", len(c.undescribed())},
		{fmt.Sprintf("rows of struct fields with %d names or more", crowdedRow), c.crowded},
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
		n := c.words[word.coined]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", word.coined, n.code, n.tests, n.pages, n.most())
	}
	return w.Flush()
}

// lint counts staticcheck's findings in the module at root.
func lint(root string) (string, error) {
	command := exec.Command("go", "tool", "staticcheck", "-checks", "all", "./...")
	command.Dir = root
	found, err := command.Output()
	var ended *exec.ExitError
	if err != nil && !errors.As(err, &ended) {
		return "", err
	}
	if err != nil && len(found) == 0 {
		return "", fmt.Errorf("staticcheck in %s: %w: %s", filepath.Clean(root), err, ended.Stderr)
	}
	return fmt.Sprint(strings.Count(string(found), "\n")), nil
}
