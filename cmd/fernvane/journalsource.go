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

const barEvery = 200 * time.Millisecond // between two looks of the progress bar

// query is what find and export look for.
type query struct {
	id       string
	server   string
	state    string
	tenant   string
	since    string
	from     time.Time
	want     intent.State
	anyState bool
}

// ready reads the query's words.
func (q *query) ready(now time.Time) error {
	q.anyState = q.state == ""
	if !q.anyState {
		var ok bool
		if q.want, ok = intent.ParseState(q.state); !ok {
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

func (q *query) fits(e *intent.Entry) bool {
	if q.id != "" && e.RequestID != q.id && e.RepeatOf != q.id || q.tenant != "" && e.Tenant != q.tenant || e.AtUnixNano < q.from.UnixNano() && !q.from.IsZero() ||
		!q.anyState && e.State() != q.want {
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

// source is where entries are read: one folder, or all nodes of a tier.
type source struct {
	dir   string
	peers string
	tier  bool
}

// ready finds out what is not said.
func (s *source) ready(getenv func(string) string) error {
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

// entries calls each for all entries, or for those of one id: those of a folder that are whole as they are read, the
// others at the end.
func (s *source) entries(since time.Time, id string, errs io.Writer, each func(*intent.Entry) error) (wal.ScanReport, error) {
	if s.tier {
		return wal.ScanReport{}, s.asked(since, id, errs, each)
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
	tellGaps(errs, fold.Gaps)
	return report, nil
}

func tellGaps(errs io.Writer, gaps []intent.Record) {
	for _, g := range gaps {
		fmt.Fprintf(errs, "from %s to %s %d words were not kept\n", clock(g.From), clock(g.AtUnixNano), g.Count)
	}
}

// errTooFew is an answer from too few nodes.
var errTooFew = errors.New("too few nodes could be asked: what is not found here is not known, not \"not sent\"")

// asked puts together what all nodes of a tier hold. Which could not be asked is told; where they are more than may be
// lost, nothing counts as not sent.
func (s *source) asked(since time.Time, id string, errs io.Writer, each func(*intent.Entry) error) error {
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
	tellGaps(errs, union.Gaps)
	fmt.Fprintf(errs, "%d nodes answered\n", len(tier.Answered))
	for _, name := range slices.Sorted(maps.Keys(tier.Unanswered)) {
		fmt.Fprintf(errs, "could not be asked: %s: %v\n", name, tier.Unanswered[name])
	}
	if !enough {
		return errTooFew
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
			if now := time.Now(); now.Sub(begun) > barEvery && now.Sub(drawn) > barEvery && all > 0 {
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

func (q *query) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&q.id, "id", "", "the request's id, or one that it repeats")
	f.StringVar(&q.server, "server", "", "a server that a hop was for")
	f.StringVar(&q.state, "state", "", "not-sent, possibly-sent, ran or not-known")
	f.StringVar(&q.tenant, "tenant", "", "a tenant")
	f.StringVar(&q.since, "since", "", "a span back (2h) or a time (2026-01-31T09:00:00Z)")
}
