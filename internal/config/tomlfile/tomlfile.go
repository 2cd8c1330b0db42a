// Package tomlfile reads an operator's TOML file strictly and finds the line of each key, so that whatever is wrong
// with a file can be said as file:line: reason.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	largest    = 1 << 20 // bytes of a file; larger ones are a mistake
	mostFaults = 100     // that are looked for one after the other
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File string
	Line int // 0 where it concerns the whole file
	Why  string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Why
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Why)
}

// Faults are all that were found, in the order of their lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// File is one that has been read, with the places of its keys.
type File struct {
	Name   string
	lines  map[string]int
	faults Faults
}

// Read returns the text of a file that is not too large to be one of ours.
func Read(path string) ([]byte, error) {
	s, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if s.Size() > largest {
		return nil, Faults{{File: path, Why: fmt.Sprintf("larger than %d bytes", largest)}}
	}
	return os.ReadFile(path)
}

// Duration is a duration as files write it: "250ms".
type Duration time.Duration

// UnmarshalText reads the form of time.ParseDuration.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as 250ms", b)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes that form.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std is the span as a duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// Parse reads a text. Keys that the struct does not have and values of the wrong type are noted, each by its line, and
// the rest is read, for the caller to look at before it asks for Err. An error is a text that cannot be read on.
func Parse(name string, text []byte, into any) (*File, error) {
	f := &File{Name: name, lines: map[string]int{}}
	if len(text) > largest {
		return f, Faults{{File: name, Why: fmt.Sprintf("larger than %d bytes", largest)}}
	}
	if !utf8.Valid(text) {
		return f, Faults{{File: name, Line: badLine(text), Why: "not UTF-8"}}
	}
	sound := f.find(text)
	for range mostFaults {
		d := toml.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		err := d.Decode(into)
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case err == nil:
			return f, nil
		case errors.As(err, &strict):
			for _, e := range strict.Errors {
				row, _ := e.Position()
				f.faults = append(f.faults, Fault{name, row, fmt.Sprintf("unknown key %q", strings.Join(e.Key(), "."))})
			}
			return f, nil
		case errors.As(err, &decode):
			row, _ := decode.Position()
			f.faults = append(f.faults, Fault{name, row, strings.TrimPrefix(decode.Error(), "toml: ")})
			if !sound {
				return f, f.Err()
			}
			if text = without(text, row); text == nil { // a value over several lines
				return f, f.Err()
			}
		default:
			f.faults = append(f.faults, Fault{File: name, Why: err.Error()})
			return f, f.Err()
		}
	}
	return f, f.Err()
}

// without is the text with a line left empty, so that what follows is read as well; nil if there is nothing to leave out.
func without(text []byte, row int) []byte {
	lines := bytes.Split(text, []byte{'\n'})
	if row < 1 || row > len(lines) || len(bytes.TrimSpace(lines[row-1])) == 0 {
		return nil
	}
	lines = slices.Clone(lines)
	lines[row-1] = nil
	return bytes.Join(lines, []byte{'\n'})
}

func badLine(text []byte) int {
	line := 1
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n == 1 {
			return line
		}
		if r == '\n' {
			line++
		}
		i += n
	}
	return 0
}

// find notes where each table and key begins. Entries of arrays of tables count from 0: "faults.2.at".
func (f *File) find(text []byte) (sound bool) {
	var p unstable.Parser
	p.Reset(text)
	count := map[string]int{}
	prefix := ""
	var ends []int // of lines; the parser's own look-up would go over the text for each key
	for i, c := range text {
		if c == '\n' {
			ends = append(ends, i)
		}
	}
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		line := 0
		for k := e.Key(); k.Next(); {
			n := k.Node()
			path = append(path, string(n.Data))
			if line == 0 {
				line, _ = slices.BinarySearch(ends, int(p.Range(n.Data).Offset))
				line++
			}
		}
		key := strings.Join(path, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = inArray(key, count)
			f.lines[prefix] = line
		case unstable.ArrayTable:
			key = inArray(key, count)
			prefix = key + "." + strconv.Itoa(count[key])
			count[key]++
			f.lines[prefix] = line
		case unstable.KeyValue:
			f.lines[strings.TrimPrefix(prefix+"."+key, ".")] = line
		}
	}
	return p.Error() == nil
}

// inArray puts the number of the latest entry behind each part of a path that is an array of tables.
func inArray(key string, count map[string]int) string {
	parts := strings.Split(key, ".")
	full := parts[0]
	for _, part := range parts[1:] {
		if n := count[full]; n > 0 {
			full += "." + strconv.Itoa(n-1)
		}
		full += "." + part
	}
	return full
}

// Has tells whether the file holds a key or table.
func (f *File) Has(path string) bool {
	_, ok := f.lines[path]
	return ok
}

// Line is where a key stands, or the table that would hold it.
func (f *File) Line(path string) int {
	for path != "" {
		if line, ok := f.lines[path]; ok {
			return line
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 0
}

// Wrong notes a fault at a key.
func (f *File) Wrong(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{f.Name, f.Line(path), fmt.Sprintf(format, args...)})
}

// Err is all that was found wrong so far, nil for nothing.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return f.faults
}
