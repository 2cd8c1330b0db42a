package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
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

// parse reads the state and the time of the flags.
func (q *entryFilter) parse(now time.Time) error {
	q.anyState = q.state == ""
	if !q.anyState {
		var ok bool
		if q.wantState, ok = intent.ParseState(q.state); !ok {
			return fmt.Errorf("--state %q: not-sent, possibly-sent, ran or not-known", q.state)
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
		return fmt.Errorf("--since %q: a span such as 2h, or a time such as 2026-01-31T09:00:00Z", q.since)
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
	for _, h := range e.Attempts {
		if h.Server == q.server {
			return true
		}
	}
	return false
}

// journalSource is where entries are read from: one folder, or all nodes of a tier.
type journalSource struct {
	dir   string
	peers string
	tier  bool
}

// resolve fills in the folder from PROXY_BINDINGS where no flag names a source.
func (s *journalSource) resolve(getenv func(string) string) error {
	switch {
	case s.tier && s.peers == "":
		return errors.New("which tier? --peers FILE")
	case s.tier || s.dir != "":
		return nil
	}
	path := getenv("PROXY_BINDINGS")
	if path == "" {
		return errors.New("which journal? --dir FOLDER")
	}
	cfg, err := wal.LoadConfig(path)
	if err == nil {
		s.dir = cfg.Dir
	}
	return err
}

// entries calls each for all entries, or for those of one request ID: complete ones as they are read, the others at the
// end.
func (s *journalSource) entries(since time.Time, id string, errs io.Writer, each func(*intent.Entry) error) (wal.ScanReport, error) {
	if s.tier {
		return wal.ScanReport{}, s.entriesOfTier(since, id, errs, each)
	}
	fold := intent.NewAssembler()
	bar, done := progress(errs)
	report, err := wal.Scan(wal.OSFileSystem{}, s.dir, since, func(r *intent.Record) error {
		if e := fold.Add(r); e != nil {
			return each(e)
		}
		return nil
	}, bar)
	done()
	if err != nil {
		return report, err
	}
	fold.HasDamage = report.CorruptCount() > 0
	for _, e := range fold.Incomplete() {
		if err := each(e); err != nil {
			return report, err
		}
	}
	for _, f := range report.Unreadable {
		fmt.Fprintln(errs, f)
	}
	printGaps(errs, fold.Gaps)
	return report, nil
}

func printGaps(errs io.Writer, gaps []intent.Record) {
	for _, g := range gaps {
		fmt.Fprintf(errs, "from %s to %s %d records were not kept\n", formatTime(g.From), formatTime(g.AtUnixNano), g.Count)
	}
}

// errTooFewAnswers: so many nodes did not answer that an entry may exist which was not found.
var errTooFewAnswers = errors.New("too few nodes could be asked: what is not found here is not known, not \"not sent\"")

// entriesOfTier merges the journals and replicas of all nodes of a tier. It prints which nodes did not answer; where more
// are missing than replicas allow for, no entry counts as not sent.
func (s *journalSource) entriesOfTier(since time.Time, id string, errs io.Writer, each func(*intent.Entry) error) error {
	cfg, err := peer.LoadConfig(s.peers)
	if err != nil {
		return err
	}
	tier := peer.Query(context.Background(), cfg, false)
	union := intent.NewMerger()
	var all []*intent.Entry
	corrupt, err := tier.Records(context.Background(), since, id, func(r *intent.Record) error {
		if e := union.Add(r); e != nil {
			all = append(all, e)
		}
		return nil
	})
	if err != nil {
		return err
	}
	union.HasDamage = corrupt > 0
	enough := tier.HasEnoughAnswers()
	for _, e := range append(all, union.Incomplete()...) {
		e.TooFewNodesAsked = !enough
		if err := each(e); err != nil {
			return err
		}
	}
	printGaps(errs, union.Gaps)
	fmt.Fprintf(errs, "%d nodes answered\n", len(tier.Answered))
	for _, name := range slices.Sorted(maps.Keys(tier.Unanswered)) {
		fmt.Fprintf(errs, "could not be asked: %s: %v\n", name, tier.Unanswered[name])
	}
	if !enough {
		return errTooFewAnswers
	}
	return nil
}

// progress draws a bar on a terminal.
func progress(errs io.Writer) (bar func(read, all int64), done func()) {
	f, ok := errs.(*os.File)
	if ok {
		st, err := f.Stat()
		ok = err == nil && st.Mode()&os.ModeCharDevice != 0
	}
	if !ok {
		return nil, func() {}
	}
	begun, drawn := time.Now(), time.Time{}
	return func(read, all int64) {
			if now := time.Now(); now.Sub(begun) > progressInterval && now.Sub(drawn) > progressInterval && all > 0 {
				drawn = now
				n := int(40 * min(read, all) / all)
				fmt.Fprintf(errs, "\r[%s%s] %d of %d MB", strings.Repeat("=", n), strings.Repeat(" ", 40-n), read>>20, all>>20)
			}
		}, func() {
			if !drawn.IsZero() {
				fmt.Fprint(errs, "\r\033[K")
			}
		}
}

func (q *entryFilter) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&q.id, "id", "", "the request's id, or one that it repeats")
	f.StringVar(&q.server, "server", "", "a server that an attempt was for")
	f.StringVar(&q.state, "state", "", "not-sent, possibly-sent, ran or not-known")
	f.StringVar(&q.tenant, "tenant", "", "a tenant")
	f.StringVar(&q.since, "since", "", "a span back (2h) or a time (2026-01-31T09:00:00Z)")
}
