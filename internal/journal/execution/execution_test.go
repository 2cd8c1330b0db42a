package execution

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"fernvane/internal/journal/intent"
)

// header is the header of a server's record. The tests' requests are sent in the middle of the hour from 8 to 9.
const header = `{"server":"s","from":"2026-01-31T%02d:00:00Z","to":"2026-01-31T%02d:00:00Z"}` + "\n"

const halfPastEight = 1769848200 * int64(1e9)

// proofFor returns the proof that records give for a request that was sent to server s at half past eight.
func proofFor(t *testing.T, id string, records intent.ExecutionRecords) intent.Proof {
	t.Helper()
	assembler := intent.NewAssembler()
	assembler.Add(&intent.Record{Kind: intent.Intent, RequestNumber: 1, AtUnixNano: halfPastEight, RequestID: id, Server: "s"})
	for _, r := range intent.Reconcile(assembler.Incomplete()[0], records, 0, halfPastEight) {
		return r.Proof
	}
	return intent.PossiblyRan
}

// Guards against a truncated or invalid execution record proving that the requests it lacks never ran, so that they would
// be executed again.
func TestInvalidRecordProvesNothing(t *testing.T) {
	text := fmt.Sprintf(header, 8, 9) + `{"id":"first"}` + "\n"
	broken := errors.New("broken")
	for name, r := range map[string]io.Reader{
		"the reader fails": io.MultiReader(strings.NewReader(text), iotest.ErrReader(broken)),
		"within a line":    strings.NewReader(text + `{"id":"sec`),
		"an invalid line":  strings.NewReader(text + "{}\n" + `{"id":"second"}` + "\n"),
		"a line too long":  strings.NewReader(text + `{"id":"` + strings.Repeat("x", maxLineBytes) + `"}` + "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			records := intent.ExecutionRecords{}
			if err := Read("text", r, records); err == nil {
				t.Error("read: got no error, want one")
			}
			if proof := proofFor(t, "second", records); proof != intent.PossiblyRan {
				t.Errorf("got proof %d, want PossiblyRan", proof)
			}
		})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+100))
		io.WriteString(w, text)
	}))
	defer server.Close()
	records := intent.ExecutionRecords{}
	if err := Load(server.URL, records); err == nil {
		t.Error("load of a truncated response: got no error, want one")
	}
	if proof := proofFor(t, "second", records); proof != intent.PossiblyRan {
		t.Errorf("load of a truncated response: got proof %d, want PossiblyRan", proof)
	}
}

// Guards against a server's second execution record replacing its first: requests that only the first lists would count as
// never run.
func TestRecordsOfOneServerAreCombined(t *testing.T) {
	for name, second := range map[string]string{
		"the same time":  fmt.Sprintf(header, 8, 9),
		"a later time":   fmt.Sprintf(header, 9, 10),
		"a longer time":  fmt.Sprintf(header, 7, 10),
		"an earlier one": fmt.Sprintf(header, 7, 8),
	} {
		t.Run(name, func(t *testing.T) {
			records := intent.ExecutionRecords{}
			for _, text := range []string{fmt.Sprintf(header, 8, 9) + `{"id":"first"}`, second + `{"id":"second"}`} {
				if err := Read("text", strings.NewReader(text), records); err != nil {
					t.Fatal(err)
				}
			}
			for id, want := range map[string]intent.Proof{"first": intent.Ran, "second": intent.Ran, "third": intent.NeverRan} {
				if proof := proofFor(t, id, records); proof != want {
					t.Errorf("%s: got proof %d, want %d", id, proof, want)
				}
			}
		})
	}
}
