// Package execution reads servers' execution records, which list the requests that a server ran. The format is JSON lines:
// a header {"server":"ID","from":"TIME","to":"TIME"} with the time range for which the list is complete, then
// {"id":"REQUEST-ID"} for each request that ran. Times are RFC 3339. One file may contain the records of several servers,
// one after the other.
//
// The command `fernvane bindings reconcile`, and nodes that reconcile the journals of lost machines (package peer), read
// execution records and pass them to intent.Reconcile.
package execution

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	maxLineBytes = 64 << 10
	fetchTimeout = time.Minute
)

// line is one line of the format: the header of a server's record, or a request in the record.
type line struct {
	Server string     `json:"server"`
	From   *time.Time `json:"from"`
	To     *time.Time `json:"to"`
	ID     string     `json:"id"`
}

// Read adds the records from r to records, and retains earlier records of the same servers. Errors contain name and the line
// number. On an error nothing is added: a truncated record would prove that the requests it lacks never ran.
func Read(name string, r io.Reader, records intent.ExecutionRecords) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var read []*intent.ExecutionRecord
	number := 0
	for s.Scan() {
		number++
		if strings.TrimSpace(s.Text()) == "" {
			continue
		}
		var err error
		if read, err = appendLine(read, s.Text()); err != nil {
			return fmt.Errorf("%s:%d: %v", name, number, err)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("%s:%d: %v", name, number+1, err)
	}
	for _, x := range read {
		records.Add(x)
	}
	return nil
}

// appendLine parses one line: the header of a new record, which it appends, or a request of the last record.
func appendLine(read []*intent.ExecutionRecord, text string) ([]*intent.ExecutionRecord, error) {
	var l line
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return nil, err
	}
	switch {
	case l.Server != "" && (l.From == nil || l.To == nil):
		return nil, fmt.Errorf("server %q: from and to are required", l.Server)
	case l.Server != "":
		read = append(read, &intent.ExecutionRecord{
			Server:       l.Server,
			FromUnixNano: l.From.UnixNano(),
			ToUnixNano:   l.To.UnixNano(),
			RequestIDs:   map[string]bool{},
		})
	case l.ID == "":
		return nil, errors.New("line has neither server nor id")
	case len(read) == 0:
		return nil, errors.New("id precedes the first server line")
	default:
		read[len(read)-1].RequestIDs[l.ID] = true
	}
	return read, nil
}

// Load reads a file, or the response of an http or https URL, and adds its records as Read does.
func Load(source string, records intent.ExecutionRecords) error {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return fetch(source, records)
	}
	f, err := os.Open(source)
	if err != nil {
		return err
	}
	defer f.Close()
	return Read(source, f, records)
}

func fetch(url string, records intent.ExecutionRecords) error {
	c := http.Client{Timeout: fetchTimeout}
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch %s: got status %s, want 200 OK", url, resp.Status)
	}
	return Read(url, resp.Body, records)
}
