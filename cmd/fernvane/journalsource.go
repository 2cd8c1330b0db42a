package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const progressInterval = 200 * time.Millisecond // between two redraws of the progress bar

// entryFilter selects entries for find and export.
type entryFilter struct {
	id        string
	server    string
	state     string
	tenant    string
	since     string
	from      time.Time
	wantState intent.State
	anyState  bool
}

// parse parses the flags --state and --since; now is the end of a relative time span.
func (q *entryFilter) parse(now time.Time) error {
	q.anyState = q.state == ""
	if !q.anyState {
		var ok bool
		if q.wantState, ok = intent.ParseState(q.state); !ok {
			return fmt.Errorf("--state %q: expected not-sent, possibly-sent, ran or not-known", q.state)
		}
	}
	if q.since == "" {
		return nil
	}
	if d, err := time.ParseDuration(q.since); err == nil {
		q.from = now.Add(-d)
		return nil
	}
	var err error
	if q.from, err = time.Parse(time.RFC3339, q.since); err != nil {
		return fmt.Errorf("--since %q: expected a duration such as 2h or a time such as 2026-01-31T09:00:00Z", q.since)
	}
	return nil
}

func (q *entryFilter) matches(e *intent.Entry) bool {
	if q.id != "" && e.RequestID != q.id && e.RepeatOf != q.id || q.tenant != "" && e.Tenant != q.tenant || e.AtUnixNano < q.from.UnixNano() && !q.from.IsZero() ||
		!q.anyState && e.State() != q.wantState {
		return false
	}
	if q.server == "" {
		return true
	}
	for _, attempt := range e.Attempts {
		if attempt.Server == q.server {
			return true
		}
	}
	return false
}

// journalSource selects the journal to read: one folder, or the nodes of a tier.
type journalSource struct {
	dir   string
	peers string
	tier  bool
}

// resolve sets the folder to that of the file that PROXY_BINDINGS names, if no flag names a source.
func (s *journalSource) resolve(getenv func(string) string) error {
	switch {
	case s.tier && s.peers == "":
		return errors.New("no tier named: use --peers FILE")
	case s.tier || s.dir != "":
		return nil
	}
	path := getenv("PROXY_BINDINGS")
	if path == "" {
		return errors.New("no journal named: use --dir FOLDER or set PROXY_BINDINGS")
	}
	cfg, err := wal.LoadConfig(path)
	if err == nil {
		s.dir = cfg.Dir
	}
	return err
}

// entries calls visit for all entries, or for those of one request ID. Complete entries are passed on as they are read,
// incomplete ones at the end.
func (s *journalSource) entries(since time.Time, id string, stderr io.Writer, visit func(*intent.Entry) error) (wal.ScanReport, error) {
	if s.tier {
		return wal.ScanReport{}, s.tierEntries(since, id, stderr, visit)
	}
	assembler := intent.NewAssembler()
	drawProgress, clearProgress := progress(stderr)
	report, err := wal.Scan(wal.OSFileSystem{}, s.dir, since, func(r *intent.Record) error {
		if e := assembler.Add(r); e != nil {
			return visit(e)
		}
		return nil
	}, drawProgress)
	clearProgress()
	if err != nil {
		return report, err
	}
	assembler.HasDamage = report.CorruptCount() > 0
	for _, e := range assembler.Incomplete() {
		if err := visit(e); err != nil {
			return report, err
		}
	}
	for _, f := range report.Unreadable {
		fmt.Fprintln(stderr, f)
	}
	printGaps(stderr, assembler.Gaps)
	return report, nil
}

func printGaps(stderr io.Writer, gaps []intent.Record) {
	for _, g := range gaps {
		fmt.Fprintf(stderr, "from %s to %s: %d records not written to the journal\n", formatTime(g.From), formatTime(g.AtUnixNano), g.Count)
	}
}

// errTooFewResponses is returned if so many nodes did not respond that existing entries may not have been found.
var errTooFewResponses = errors.New("too few nodes responded: entries that were not found may exist, and their state is not known")

// errShutDown is the reason that is printed for a node that shut down gracefully.
var errShutDown = errors.New("node has shut down")

// tierEntries calls visit for the entries of all nodes of a tier, merged from their journals and replicas. It prints which nodes did
// not respond. If more nodes are missing than the number of replicas allows, no entry counts as not sent, and it returns
// errTooFewResponses.
func (s *journalSource) tierEntries(since time.Time, id string, stderr io.Writer, visit func(*intent.Entry) error) error {
	cfg, err := peer.LoadConfig(s.peers)
	if err != nil {
		return err
	}
	tier := peer.Query(context.Background(), cfg, false)
	merger := intent.NewMerger()
	var complete []*intent.Entry
	corrupt, err := tier.Records(context.Background(), since, id, func(r *intent.Record) error {
		if e := merger.Add(r); e != nil {
			complete = append(complete, e)
		}
		return nil
	})
	if err != nil {
		return err
	}
	merger.HasDamage = corrupt > 0
	hasEnough := tier.HasEnoughResponses()
	for _, e := range append(complete, merger.Incomplete()...) {
		e.TooFewNodesResponded = !hasEnough
		if err := visit(e); err != nil {
			return err
		}
	}
	printGaps(stderr, merger.Gaps)
	fmt.Fprintf(stderr, "%d nodes responded\n", len(tier.Responses))
	for _, name := range tier.Missing() {
		fmt.Fprintf(stderr, "no response from %s: %v\n", name, cmp.Or(tier.QueryErrors[name], errShutDown))
	}
	if !hasEnough {
		return errTooFewResponses
	}
	return nil
}

// progress returns a function that draws a progress bar and one that clears it. If stderr is not a terminal, draw is nil and clearBar has no
// effect.
func progress(stderr io.Writer) (draw func(read, total int64), clearBar func()) {
	f, ok := stderr.(*os.File)
	if ok {
		info, err := f.Stat()
		ok = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	if !ok {
		return nil, func() {}
	}
	startedAt, drawnAt := time.Now(), time.Time{}
	return func(read, total int64) {
			if now := time.Now(); now.Sub(startedAt) > progressInterval && now.Sub(drawnAt) > progressInterval && total > 0 {
				drawnAt = now
				filled := int(40 * min(read, total) / total)
				fmt.Fprintf(stderr, "\r[%s%s] %d of %d MB", strings.Repeat("=", filled), strings.Repeat(" ", 40-filled), read>>20, total>>20)
			}
		}, func() {
			if !drawnAt.IsZero() {
				fmt.Fprint(stderr, "\r\033[K")
			}
		}
}

func (q *entryFilter) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&q.id, "id", "", "select entries of this request ID, or of requests that repeat it")
	f.StringVar(&q.server, "server", "", "select entries with an attempt to this server")
	f.StringVar(&q.state, "state", "", "select entries in this state: not-sent, possibly-sent, ran or not-known")
	f.StringVar(&q.tenant, "tenant", "", "select entries of this tenant")
	f.StringVar(&q.since, "since", "", "select entries since a duration ago (2h) or a time (2026-01-31T09:00:00Z)")
}
