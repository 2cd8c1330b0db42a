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

// header is the first line of a trace in CSV: times in ms since the start, names as in the scenario, work in ms.
var header = []string{"at_ms", "type", "tenant", "site", "key", "work_ms"}

// record is a line of a trace, in CSV or JSON.
type record struct {
	AtMS   *float64 `json:"at_ms"`
	Type   string   `json:"type"`
	Tenant string   `json:"tenant"`
	Site   string   `json:"site"`
	Key    int      `json:"key"`
	WorkMS float64  `json:"work_ms"`
}

// WriteTrace writes a schedule as CSV that ReadTrace reads.
func WriteTrace(w io.Writer, s *scenario.Scenario, requests []Request) error {
	b := bufio.NewWriter(w)
	fmt.Fprintln(b, strings.Join(header, ","))
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 6, 64)
	}
	for _, o := range requests {
		tenant := ""
		if o.Tenant >= 0 {
			tenant = s.Tenants[o.Tenant].Name
		}
		fmt.Fprintf(b, "%s,%s,%s,%s,%d,%s\n", ms(o.At), s.Types[o.Type].Name, tenant, s.Sites[o.Site], o.Key, ms(o.Work))
	}
	return b.Flush()
}

// LoadTrace reads the trace in a file: JSON lines if its name ends in .jsonl or .json, else CSV.
func LoadTrace(path string, s *scenario.Scenario) ([]Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ext := filepath.Ext(path)
	return ReadTrace(f, path, ext == ".jsonl" || ext == ".json", s)
}

// ReadTrace reads a recorded trace and returns its requests in order of time; lines may have any order. Errors give name
// and the line's number. A type, tenant or site that the scenario lacks is an error; an empty site is the first one.
func ReadTrace(r io.Reader, name string, isJSON bool, s *scenario.Scenario) ([]Request, error) {
	var requests []Request
	each := readCSV
	if isJSON {
		each = readJSON
	}
	lastLine := 0
	err := each(r, func(line int, rec record) error {
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
		return nil, fmt.Errorf("%s:%d: no operations", name, lastLine)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	return requests, nil
}

// fromMS converts milliseconds.
func fromMS(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// request returns the request of a record, or why the scenario cannot have it.
func (r record) request(s *scenario.Scenario) (o Request, err error) {
	find := func(what, name string, n int, of func(int) string) int {
		for i := range n {
			if of(i) == name {
				return i
			}
		}
		if err == nil {
			err = fmt.Errorf("no %s %q in the scenario", what, name)
		}
		return 0
	}
	if r.AtMS == nil || !(*r.AtMS >= 0 && *r.AtMS < 1e9) {
		return o, errors.New("at_ms must be 0 or more")
	}
	if !(r.WorkMS >= 0 && r.WorkMS < 1e7) || r.Key < 0 {
		return o, errors.New("work_ms and key must be 0 or more")
	}
	o = Request{At: fromMS(*r.AtMS), Tenant: -1, Key: r.Key,
		Work: fromMS(r.WorkMS)}
	o.Type = find("type", r.Type, len(s.Types), func(i int) string { return s.Types[i].Name })
	if r.Tenant != "" {
		o.Tenant = find("tenant", r.Tenant, len(s.Tenants), func(i int) string { return s.Tenants[i].Name })
	}
	if r.Site != "" {
		o.Site = find("site", r.Site, len(s.Sites), func(i int) string { return s.Sites[i] })
	}
	return o, err
}

type (
	// eachLine is called for each record; its error ends the reading.
	eachLine func(line int, r record) error
	// badLine wraps the error of a line that cannot be parsed.
	badLine func(line int, err error) error
)

// readCSV reads a trace in CSV.
func readCSV(r io.Reader, each eachLine, bad badLine) error {
	c := csv.NewReader(r)
	c.FieldsPerRecord = len(header)
	for first := true; ; first = false {
		f, err := c.Read()
		if err == io.EOF {
			return nil
		}
		var parse *csv.ParseError
		if errors.As(err, &parse) {
			return bad(parse.Line, parse.Err)
		}
		if err != nil {
			return err
		}
		line, _ := c.FieldPos(0)
		if first && slices.Equal(f, header) {
			continue
		} else if first {
			return bad(line, fmt.Errorf("the first line must be %s", strings.Join(header, ",")))
		}
		var rec record
		at, err1 := strconv.ParseFloat(f[0], 64)
		key, err2 := strconv.Atoi(f[4])
		work, err3 := strconv.ParseFloat(f[5], 64)
		if err := errors.Join(err1, err2, err3); err != nil {
			return bad(line, errors.New(strings.SplitN(err.Error(), "\n", 2)[0]))
		}
		rec = record{AtMS: &at, Type: f[1], Tenant: f[2], Site: f[3], Key: key, WorkMS: work}
		if err := each(line, rec); err != nil {
			return err
		}
	}
}

// readJSON reads a trace of JSON lines; empty ones are skipped.
func readJSON(r io.Reader, each eachLine, bad badLine) error {
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		var rec record
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&rec); err != nil {
			return bad(n, err)
		}
		if err := each(n, rec); err != nil {
			return err
		}
	}
	return lines.Err()
}
