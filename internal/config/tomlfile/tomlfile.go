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
	maxFileBytes = 1 << 20
	maxFaults    = 100 // each costs one more decoding of the text
)

// Fault is one thing that is wrong with a file, with the line where it stands.
type Fault struct {
	File string
	Line int // 0: the whole file
	Why  string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Why
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Why)
}

// Faults is the error of a file that cannot be used: all its faults, in the order of their lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// File is a file that has been parsed, with the line of each key and the faults found so far.
type File struct {
	Name   string
	lines  map[string]int
	faults Faults
}

// Read returns the text of the file at path. The error is that of reading it, or Faults where it is over 1 MiB.
func Read(path string) ([]byte, error) {
	s, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if s.Size() > maxFileBytes {
		return nil, Faults{{File: path, Why: fmt.Sprintf("larger than %d bytes", maxFileBytes)}}
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

// Std returns s as a time.Duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// Parse decodes a text into a struct. Unknown keys and values of the wrong type are recorded with their lines and the rest
// is decoded, so that the caller can check it and add faults (Wrong) before it asks for Err. A non-nil error, of type
// Faults, means that the rest of the text could not be decoded.
func Parse(name string, text []byte, into any) (*File, error) {
	f := &File{Name: name, lines: map[string]int{}}
	if len(text) > maxFileBytes {
		return f, Faults{{File: name, Why: fmt.Sprintf("larger than %d bytes", maxFileBytes)}}
	}
	if !utf8.Valid(text) {
		return f, Faults{{File: name, Line: firstInvalidLine(text), Why: "not UTF-8"}}
	}
	isValid := f.indexLines(text)
	for range maxFaults {
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
			if !isValid {
				return f, f.Err()
			}
			if text = withoutLine(text, row); text == nil { // a value over several lines
				return f, f.Err()
			}
		default:
			f.faults = append(f.faults, Fault{File: name, Why: err.Error()})
			return f, f.Err()
		}
	}
	return f, f.Err()
}

// withoutLine returns the text with one line emptied, so that the lines after it are decoded too; nil if there is no such
// line or it is empty.
func withoutLine(text []byte, row int) []byte {
	lines := bytes.Split(text, []byte{'\n'})
	if row < 1 || row > len(lines) || len(bytes.TrimSpace(lines[row-1])) == 0 {
		return nil
	}
	lines = slices.Clone(lines)
	lines[row-1] = nil
	return bytes.Join(lines, []byte{'\n'})
}

// firstInvalidLine is the first line that is not UTF-8.
func firstInvalidLine(text []byte) int {
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

// indexLines records the line of each table and key, and reports whether the text parses. Entries of arrays of tables
// count from 0: "faults.2.at".
func (f *File) indexLines(text []byte) (isValid bool) {
	var p unstable.Parser
	p.Reset(text)
	count := map[string]int{}
	prefix := ""
	var ends []int // offsets of line ends; the parser's own look-up scans the text for each key
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

// inArray appends the index of the latest entry to each part of a path that is an array of tables.
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

// Has reports whether the file has a key or table.
func (f *File) Has(path string) bool {
	_, ok := f.lines[path]
	return ok
}

// Line is the line of a key, or of the nearest table around it; 0 for neither.
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

// Wrong records a fault at a key.
func (f *File) Wrong(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{f.Name, f.Line(path), fmt.Sprintf(format, args...)})
}

// Err returns all faults recorded so far, nil for none.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return f.faults
}
