// Package tomlfile decodes an operator's TOML file strictly and records the line of each key, so that every fault of a file
// is reported as file:line: reason.
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
	maxFaults    = 100 // each fault costs another decoding of the text
)

// Fault is one fault of a file.
type Fault struct {
	File   string
	Line   int // 0: the fault concerns the whole file
	Reason string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Reason
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
}

// Faults is the error of an invalid file. It holds all faults in the order of their lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file, with the line of each key and the faults that have been recorded so far.
type File struct {
	Name   string
	lines  map[string]int // line by path of the key or table
	faults Faults
}

// Read returns the text of the file at path. The error is that of reading, or Faults for a file larger than 1 MiB.
func Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, Faults{{File: path, Reason: fmt.Sprintf("larger than %d bytes", maxFileBytes)}}
	}
	return os.ReadFile(path)
}

// Duration is a duration that files write with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: number with a unit expected, such as 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the notation of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Parse decodes a text into the struct that into points to. Unknown keys and values of the wrong type are recorded with
// their lines, and the rest is decoded, so that the caller can check the rest and record further faults with AddFault
// before it calls Err. A non-nil error, of type Faults, means that the rest of the text could not be decoded.
func Parse(name string, text []byte, into any) (*File, error) {
	f := &File{Name: name, lines: map[string]int{}}
	if len(text) > maxFileBytes {
		return f, Faults{{File: name, Reason: fmt.Sprintf("larger than %d bytes", maxFileBytes)}}
	}
	if !utf8.Valid(text) {
		return f, Faults{{File: name, Line: firstInvalidLine(text), Reason: "not UTF-8"}}
	}
	isValid := f.indexLines(text)
	for range maxFaults {
		decoder := toml.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(into)
		var unknownKeys *toml.StrictMissingError
		var decodeError *toml.DecodeError
		switch {
		case err == nil:
			return f, nil
		case errors.As(err, &unknownKeys):
			for _, unknownKey := range unknownKeys.Errors {
				line, _ := unknownKey.Position()
				f.faults = append(f.faults, Fault{name, line, fmt.Sprintf("unknown key %q", strings.Join(unknownKey.Key(), "."))})
			}
			return f, nil
		case errors.As(err, &decodeError):
			line, _ := decodeError.Position()
			f.faults = append(f.faults, Fault{name, line, strings.TrimPrefix(decodeError.Error(), "toml: ")})
			if !isValid {
				return f, f.Err()
			}
			if text = withoutLine(text, line); text == nil { // the value spans several lines
				return f, f.Err()
			}
		default:
			f.faults = append(f.faults, Fault{File: name, Reason: err.Error()})
			return f, f.Err()
		}
	}
	return f, f.Err()
}

// withoutLine returns the text with one line emptied, so that the lines after it can be decoded. It returns nil if the line
// does not exist or is already empty.
func withoutLine(text []byte, line int) []byte {
	lines := bytes.Split(text, []byte{'\n'})
	if line < 1 || line > len(lines) || len(bytes.TrimSpace(lines[line-1])) == 0 {
		return nil
	}
	lines = slices.Clone(lines)
	lines[line-1] = nil
	return bytes.Join(lines, []byte{'\n'})
}

// firstInvalidLine returns the first line that is not valid UTF-8, or 0 if all lines are valid.
func firstInvalidLine(text []byte) int {
	line := 1
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return line
		}
		if r == '\n' {
			line++
		}
		i += size
	}
	return 0
}

// indexLines records the line of each table and key, and reports whether the text is valid TOML. A path numbers the entries
// of an array of tables from 0: "faults.2.at".
func (f *File) indexLines(text []byte) (isValid bool) {
	var parser unstable.Parser
	parser.Reset(text)
	entryCount := map[string]int{}
	prefix := ""
	var lineEnds []int // offsets of line ends; the parser's own lookup of a line would scan the text for each key
	for i, char := range text {
		if char == '\n' {
			lineEnds = append(lineEnds, i)
		}
	}
	for parser.NextExpression() {
		expression := parser.Expression()
		var path []string
		line := 0
		for keys := expression.Key(); keys.Next(); {
			node := keys.Node()
			path = append(path, string(node.Data))
			if line == 0 {
				line, _ = slices.BinarySearch(lineEnds, int(parser.Range(node.Data).Offset))
				line++
			}
		}
		key := strings.Join(path, ".")
		switch expression.Kind {
		case unstable.Table:
			prefix = inArray(key, entryCount)
			f.lines[prefix] = line
		case unstable.ArrayTable:
			key = inArray(key, entryCount)
			prefix = key + "." + strconv.Itoa(entryCount[key])
			entryCount[key]++
			f.lines[prefix] = line
		case unstable.KeyValue:
			f.lines[strings.TrimPrefix(prefix+"."+key, ".")] = line
		}
	}
	return parser.Error() == nil
}

// inArray inserts, behind each part of a path that is an array of tables, the index of the latest entry of that array.
func inArray(key string, entryCount map[string]int) string {
	parts := strings.Split(key, ".")
	full := parts[0]
	for _, part := range parts[1:] {
		if n := entryCount[full]; n > 0 {
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

// Line returns the line of a key, or else of the innermost table that contains it, or 0 if the file has neither.
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

// AddFault records a fault at a key, with the line that Line returns for it.
func (f *File) AddFault(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{f.Name, f.Line(path), fmt.Sprintf(format, args...)})
}

// Err returns all faults recorded so far, or nil if there are none.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return f.faults
}
