package zookeeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-zookeeper/zk"

	"fernvane/internal/discovery/endpoints"
)

const (
	minReadInterval    = 50 * time.Millisecond  // between two looks at the children: a storm of events is one look
	readIntervalSpread = 50 * time.Millisecond  // spread over which readers of one change come
	maxRetryDelay      = 2 * time.Second        // between two tries while the registry is out of reach
	initialRetryDelay  = 100 * time.Millisecond // the first of them; doubles
	maxConcurrentReads = 16                     // entries asked for at a time
)

// Conn is the part of a client that a reader needs.
type Conn interface {
	ChildrenW(path string) ([]string, *zk.Stat, <-chan zk.Event, error)
	GetW(path string) ([]byte, *zk.Stat, <-chan zk.Event, error)
	Close()
}

// Dial connects to the ensemble of a configuration.
func Dial(c *Config) (Conn, error) {
	conn, _, err := zk.Connect(c.Servers, c.SessionTimeout.Std(), zk.WithLogInfo(false), zk.WithLogger(discardLogger{}), zk.WithMaxBufferSize(1<<20))
	if err == nil && c.Credentials != "" {
		go conn.AddAuth("digest", []byte(c.Credentials)) // waits for the first connection; the client repeats it on others
	}
	return conn, err
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Reader follows the children of one path.
type Reader struct {
	conn    Conn
	path    string
	entries map[string]endpoints.RegistryEntry
	// skipped are entries that cannot be read, until their data changes. They are watched as the others, and not asked for
	// again with each change of the children: each asking would leave a watch and who waits for it behind.
	unreadable map[string]bool
	// watched are the entries on which a data watch stands; its goroutine ends with the one event that it gets.
	watched  map[string]bool
	events   chan string // names of entries whose watch has fired; "" for the children's
	onChange func([]endpoints.RegistryEntry)
	onError  func(error)
}

// NewReader makes a reader that tells out of all that is listed, whenever that changes, and fault of what cannot be read.
func NewReader(conn Conn, c *Config, out func([]endpoints.RegistryEntry), fault func(error)) *Reader {
	return &Reader{conn: conn, path: c.fullPath(), entries: map[string]endpoints.RegistryEntry{}, unreadable: map[string]bool{}, watched: map[string]bool{}, events: make(chan string, 64), onChange: out, onError: fault}
}

// Run follows until the context ends. Watches are set before what they watch is read, so none is missed: the client sets
// the watch and reads with one call.
func (r *Reader) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.conn.Close()
	defer context.AfterFunc(ctx, r.conn.Close)()
	wait := initialRetryDelay
	childrenWatched := false
	for ctx.Err() == nil {
		changed, err := r.read(ctx, &childrenWatched)
		if err != nil && ctx.Err() == nil {
			r.onError(err)
			if !r.sleep(ctx, time.Duration((0.5+rand.Float64())*float64(wait))) {
				return nil
			}
			wait = min(2*wait, maxRetryDelay)
			continue
		}
		wait = initialRetryDelay
		if changed {
			all := make([]endpoints.RegistryEntry, 0, len(r.entries))
			for n, l := range r.entries {
				if !r.unreadable[n] {
					all = append(all, l)
				}
			}
			r.onChange(all)
		}
		select {
		case <-ctx.Done():
			return nil
		case name := <-r.events:
			r.watchFired(name, &childrenWatched)
		}
		if !r.sleep(ctx, minReadInterval+time.Duration(rand.Int64N(int64(readIntervalSpread)))) {
			return nil
		}
		for more := true; more; {
			select {
			case name := <-r.events:
				r.watchFired(name, &childrenWatched)
			default:
				more = false
			}
		}
	}
	return nil
}

func (r *Reader) watchFired(name string, children *bool) {
	if name == "" {
		*children = false
		return
	}
	delete(r.watched, name)
}

func (r *Reader) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// follow waits for the one event of a watch.
func (r *Reader) awaitWatch(ctx context.Context, name string, events <-chan zk.Event) {
	go func() {
		select {
		case <-events:
		case <-ctx.Done():
			return
		}
		select {
		case r.events <- name:
		case <-ctx.Done():
		}
	}()
}

// look reads what is not watched: the children if their watch has fired, and each entry whose watch has.
func (r *Reader) read(ctx context.Context, childrenWatched *bool) (changed bool, err error) {
	if !*childrenWatched {
		if err := r.readChildren(ctx); err != nil {
			return false, err
		}
		*childrenWatched = true
		changed = true
	}
	read, err := r.readEntries(ctx)
	return changed || read, err
}

// readChildren takes in which entries there are, and watches for others.
func (r *Reader) readChildren(ctx context.Context) error {
	names, _, events, err := r.conn.ChildrenW(r.path)
	if err != nil {
		return fmt.Errorf("%s: %w", r.path, err)
	}
	r.awaitWatch(ctx, "", events)
	there := make(map[string]bool, len(names))
	for _, n := range names {
		there[n] = true
		if _, ok := r.entries[n]; !ok {
			r.entries[n] = endpoints.RegistryEntry{ID: n}
			delete(r.watched, n)
		}
	}
	for n := range r.entries {
		if !there[n] {
			delete(r.entries, n)
			delete(r.unreadable, n)
		}
	}
	return nil
}

// answer is what the registry says of one entry.
type entryResult struct {
	name   string
	data   []byte
	stat   *zk.Stat
	events <-chan zk.Event
	err    error
}

// readEntries asks for all entries that are not watched, some at a time.
func (r *Reader) readEntries(ctx context.Context) (changed bool, fault error) {
	var ask []string
	for n := range r.entries {
		if !r.watched[n] {
			ask = append(ask, n)
		}
	}
	answers, slots := make(chan entryResult, len(ask)), make(chan struct{}, maxConcurrentReads)
	for _, n := range ask {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			data, stat, events, err := r.conn.GetW(r.path + "/" + n)
			answers <- entryResult{n, data, stat, events, err}
		}()
	}
	for range ask {
		a := <-answers
		changed = true
		if err := r.applyEntry(ctx, &a); err != nil {
			fault = err
		}
	}
	return changed, fault
}

// takeEntry takes in an answer; an entry that cannot be read is skipped and is no error.
func (r *Reader) applyEntry(ctx context.Context, a *entryResult) error {
	if errors.Is(a.err, zk.ErrNoNode) { // it went between the two calls; the children's watch tells
		delete(r.entries, a.name)
		delete(r.unreadable, a.name)
		return nil
	}
	if a.err != nil {
		return fmt.Errorf("%s/%s: %w", r.path, a.name, a.err)
	}
	r.watched[a.name] = true
	r.awaitWatch(ctx, a.name, a.events)
	l, err := ParseEntry(a.name, a.data)
	if err != nil {
		r.onError(fmt.Errorf("%s/%s: %w", r.path, a.name, err))
		r.unreadable[a.name] = true
		return nil
	}
	delete(r.unreadable, a.name)
	l.OwnerSession, l.CreatedZxid, l.CreatedUnixMS = a.stat.EphemeralOwner, a.stat.Czxid, a.stat.Ctime
	r.entries[a.name] = l
	return nil
}
