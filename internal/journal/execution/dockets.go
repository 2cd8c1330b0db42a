// Package execution reads what a server says that it has run. The form is JSON lines: first
// {"server":"ID","from":"TIME","to":"TIME"}, which says for what time the list is whole, then {"id":"REQUEST-ID"} for each
// operation that was run. Times are RFC 3339. Several servers may follow each other in one text.
package execution

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	lineMost = 64 << 10
	fetchFor = time.Minute // for a server to give its dockets
)

type line struct {
	Server string     `json:"server"`
	From   *time.Time `json:"from"`
	To     *time.Time `json:"to"`
	ID     string     `json:"id"`
}

// Read reads a text; name is said where it is wrong.
func Read(name string, r io.Reader, into map[string]*intent.ExecutionRecord) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineMost)
	var of *intent.ExecutionRecord
	n := 0
	for s.Scan() {
		n++
		if strings.TrimSpace(s.Text()) == "" {
			continue
		}
		var l line
		d := json.NewDecoder(strings.NewReader(s.Text()))
		d.DisallowUnknownFields()
		err := d.Decode(&l)
		switch {
		case err != nil:
		case l.Server != "" && (l.From == nil || l.To == nil):
			err = fmt.Errorf("server %q: from and to say for what time its list is whole", l.Server)
		case l.Server != "":
			of = &intent.ExecutionRecord{Server: l.Server, FromUnixNano: l.From.UnixNano(), ToUnixNano: l.To.UnixNano(), RequestIDs: map[string]bool{}}
			into[l.Server] = of
		case l.ID == "":
			err = fmt.Errorf("neither a server nor an id")
		case of == nil:
			err = fmt.Errorf("an id before any server")
		default:
			of.RequestIDs[l.ID] = true
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %v", name, n, err)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("%s:%d: %v", name, n+1, err)
	}
	return nil
}

// Load reads a file, or what a URL gives.
func Load(from string, into map[string]*intent.ExecutionRecord) error {
	if !strings.HasPrefix(from, "http://") && !strings.HasPrefix(from, "https://") {
		f, err := os.Open(from)
		if err != nil {
			return err
		}
		defer f.Close()
		return Read(from, f, into)
	}
	c := http.Client{Timeout: fetchFor}
	resp, err := c.Get(from)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: answered %s", from, resp.Status)
	}
	return Read(from, resp.Body, into)
}
