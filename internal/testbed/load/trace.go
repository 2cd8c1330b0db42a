package load

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernvane/internal/testbed/scenario"
)

// header is the first line of a CSV trace. Times are in ms since the start, work is in ms, and names are those of the
// scenario.
var header = []string{"at_ms", "type", "tenant", "site", "key", "work_ms"}

// record is one line of a CSV or JSON trace.
type record struct {
	AtMS   *float64 `json:"at_ms"`
	Type   string   `json:"type"`
	Tenant string   `json:"tenant"`
	Site   string   `json:"site"`
	Key    int      `json:"key"`
	WorkMS float64  `json:"work_ms"`
}

// WriteTrace writes a schedule as a CSV trace, which ReadTrace can read.
func WriteTrace(w io.Writer, s *scenario.Scenario, requests []Request) error {
	b := bufio.NewWriter(w)
	fmt.Fprintln(b, strings.Join(header, ","))
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 6, 64)
	}
	for _, r := range requests {
		tenant := ""
		if r.Tenant >= 0 {
			tenant = s.Tenants[r.Tenant].Name
		}
		fmt.Fprintf(b, "%s,%s,%s,%s,%d,%s\n", ms(r.At), s.Types[r.Type].Name, tenant, s.Sites[r.Site], r.Key, ms(r.Work))
	}
	return b.Flush()
}

// LoadTrace reads a trace from a file: JSON lines if the extension is .jsonl or .json, otherwise CSV.
func LoadTrace(path string, s *scenario.Scenario) ([]Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ext := filepath.Ext(path)
	return ReadTrace(f, path, ext == ".jsonl" || ext == ".json", s)
}

// ReadTrace reads a recorded trace and returns its requests sorted by time; the lines may be in any order. Errors contain
// name and the line number. A type, tenant or site that is not in the scenario is an error; an empty site selects the
// first one.
func ReadTrace(r io.Reader, name string, isJSON bool, s *scenario.Scenario) ([]Request, error) {
	var requests []Request
	read := readCSV
	if isJSON {
		read = readJSON
	}
	lastLine := 0
	err := read(r, func(line int, rec record) error {
		lastLine = line
		request, err := rec.request(s)
		if err != nil {
			return fmt.Errorf("%s:%d: %w", name, line, err)
		}
		requests = append(requests, request)
		return nil
	}, func(line int, err error) error { return fmt.Errorf("%s:%d: %w", name, line, err) })
	if err != nil {
		return nil, err
	}
	if len(requests) == 0 {
		return nil, fmt.Errorf("%s:%d: trace contains no requests", name, lastLine)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	return requests, nil
}

func fromMS(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// request converts a record to a request of the scenario.
func (r record) request(s *scenario.Scenario) (request Request, err error) {
	find := func(attribute, name string, n int, nameOf func(int) string) int {
		for i := range n {
			if nameOf(i) == name {
				return i
			}
		}
		if err == nil {
			err = fmt.Errorf("no %s %q in the scenario", attribute, name)
		}
		return 0
	}
	if r.AtMS == nil || !(*r.AtMS >= 0 && *r.AtMS < 1e9) {
		return request, errors.New("at_ms is missing or out of range, want 0 to 1e9")
	}
	if !(r.WorkMS >= 0 && r.WorkMS < 1e7) || r.Key < 0 {
		return request, errors.New("work_ms or key out of range, want work_ms from 0 to 1e7 and key 0 or more")
	}
	request = Request{At: fromMS(*r.AtMS), Tenant: -1, Key: r.Key,
		Work: fromMS(r.WorkMS)}
	request.Type = find("type", r.Type, len(s.Types), func(i int) string { return s.Types[i].Name })
	if r.Tenant != "" {
		request.Tenant = find("tenant", r.Tenant, len(s.Tenants), func(i int) string { return s.Tenants[i].Name })
	}
	if r.Site != "" {
		request.Site = find("site", r.Site, len(s.Sites), func(i int) string { return s.Sites[i] })
	}
	return request, err
}

type (
	// eachLine processes the record in a line. An error stops reading.
	eachLine func(line int, r record) error
	// lineError adds the position of a line to its error.
	lineError func(line int, err error) error
)

// readCSV reads a CSV trace and calls each for each record.
func readCSV(r io.Reader, each eachLine, atLine lineError) error {
	c := csv.NewReader(r)
	c.FieldsPerRecord = len(header)
	for first := true; ; first = false {
		fields, err := c.Read()
		if err == io.EOF {
			return nil
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			return atLine(parseError.Line, parseError.Err)
		}
		if err != nil {
			return err
		}
		line, _ := c.FieldPos(0)
		if first && slices.Equal(fields, header) {
			continue
		} else if first {
			return atLine(line, fmt.Errorf("invalid header, want %s", strings.Join(header, ",")))
		}
		var rec record
		at, atErr := strconv.ParseFloat(fields[0], 64)
		key, keyErr := strconv.Atoi(fields[4])
		work, workErr := strconv.ParseFloat(fields[5], 64)
		if err := errors.Join(atErr, keyErr, workErr); err != nil {
			return atLine(line, errors.New(strings.SplitN(err.Error(), "\n", 2)[0]))
		}
		rec = record{AtMS: &at, Type: fields[1], Tenant: fields[2], Site: fields[3], Key: key, WorkMS: work}
		if err := each(line, rec); err != nil {
			return err
		}
	}
}

// readJSON reads a trace of JSON lines and calls each for each record. It skips empty lines.
func readJSON(r io.Reader, each eachLine, atLine lineError) error {
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		var rec record
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&rec); err != nil {
			return atLine(n, err)
		}
		if err := each(n, rec); err != nil {
			return err
		}
	}
	return lines.Err()
}
