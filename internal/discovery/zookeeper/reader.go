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
	// minReadInterval is the minimum time between two reads, so that a burst of events causes one read.
	minReadInterval = 50 * time.Millisecond
	// readIntervalSpread is the maximum random addition to minReadInterval. It spreads the reads that one change causes in
	// many readers.
	readIntervalSpread = 50 * time.Millisecond
	// initialRetryDelay is the mean pause after the first failed read. It doubles with each consecutive failure, up to
	// maxRetryDelay.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// maxConcurrentReads limits the number of entries that are read concurrently.
	maxConcurrentReads = 16
)

// childrenEvent represents the watch of the children in Reader.events; no entry has this name.
const childrenEvent = ""

// Reader tracks the children of one path. The fields conn, path and events are constant and used by several goroutines; all
// other fields are used only by the goroutine of Run.
type Reader struct {
	conn     Conn
	path     string
	onChange func([]endpoints.RegistryEntry)
	onError  func(error)

	entries map[string]endpoints.RegistryEntry // by name; only the ID is set until the entry has been read
	// unreadable contains the entries whose data is invalid. They are omitted from the lists, so a server that was in use is
	// taken out of use as if its entry had been removed. They are watched like other entries and are read again only when
	// their data changes, not on every change of the children, because each read creates a watch.
	unreadable map[string]bool
	// watched contains the entries whose data is watched. A watch ends with its single event.
	watched         map[string]bool
	childrenWatched bool
	events          chan string // names of entries whose watches have fired, or childrenEvent
}

// NewReader returns a Reader that calls onChange with all valid entries after each change, and onError with read and parse
// errors. Run calls both functions.
func NewReader(conn Conn, c *Config, onChange func([]endpoints.RegistryEntry), onError func(error)) *Reader {
	return &Reader{
		conn:       conn,
		path:       c.fullPath(),
		onChange:   onChange,
		onError:    onError,
		entries:    map[string]endpoints.RegistryEntry{},
		unreadable: map[string]bool{},
		watched:    map[string]bool{},
		events:     make(chan string, 64),
	}
}

// Run tracks the path until the context ends, then closes the connection. It always returns nil.
func (r *Reader) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.conn.Close()
	defer context.AfterFunc(ctx, r.conn.Close)()
	delay := initialRetryDelay
	for ctx.Err() == nil {
		hasChanged, err := r.readUnwatched(ctx)
		if err != nil && ctx.Err() == nil {
			r.onError(err)
			if !sleep(ctx, time.Duration((0.5+rand.Float64())*float64(delay))) {
				return nil
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = initialRetryDelay
		if hasChanged {
			r.onChange(r.readable())
		}
		if !r.awaitEvents(ctx) {
			return nil
		}
	}
	return nil
}

// readable returns all entries except those with invalid data.
func (r *Reader) readable() []endpoints.RegistryEntry {
	all := make([]endpoints.RegistryEntry, 0, len(r.entries))
	for name, entry := range r.entries {
		if !r.unreadable[name] {
			all = append(all, entry)
		}
	}
	return all
}

// awaitEvents waits for an event and also processes the events that arrive within the following read interval. It returns
// false if the context has ended.
func (r *Reader) awaitEvents(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case name := <-r.events:
		r.watchFired(name)
	}
	if !sleep(ctx, minReadInterval+time.Duration(rand.Int64N(int64(readIntervalSpread)))) {
		return false
	}
	for {
		select {
		case name := <-r.events:
			r.watchFired(name)
		default:
			return true
		}
	}
}

func (r *Reader) watchFired(name string) {
	if name == childrenEvent {
		r.childrenWatched = false
		return
	}
	delete(r.watched, name)
}

// awaitWatch starts a goroutine that forwards the single event of a watch to r.events.
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

// readUnwatched reads and watches the children and entries that are currently not watched.
func (r *Reader) readUnwatched(ctx context.Context) (hasChanged bool, err error) {
	if !r.childrenWatched {
		if err := r.readChildren(ctx); err != nil {
			return false, err
		}
		r.childrenWatched = true
		hasChanged = true
	}
	hasRead, err := r.readEntries(ctx)
	return hasChanged || hasRead, err
}

// readChildren reads the list of children and adds and removes entries accordingly.
func (r *Reader) readChildren(ctx context.Context) error {
	names, _, events, err := r.conn.ChildrenW(r.path)
	if err != nil {
		return fmt.Errorf("list children of %s: %w", r.path, err)
	}
	r.awaitWatch(ctx, childrenEvent, events)
	isListed := make(map[string]bool, len(names))
	for _, name := range names {
		isListed[name] = true
		if _, isKnown := r.entries[name]; !isKnown {
			r.entries[name] = endpoints.RegistryEntry{ID: name}
			delete(r.watched, name)
		}
	}
	for name := range r.entries {
		if !isListed[name] {
			r.removeEntry(name)
		}
	}
	return nil
}

func (r *Reader) removeEntry(name string) {
	delete(r.entries, name)
	delete(r.unreadable, name)
}

// entryResult is the registry's response to the read of one entry.
type entryResult struct {
	name   string
	data   []byte
	stat   *zk.Stat
	events <-chan zk.Event
	err    error
}

// readEntries reads all entries that are not watched. hasRead reports whether there were any; err is the error of the last
// read that failed.
func (r *Reader) readEntries(ctx context.Context) (hasRead bool, err error) {
	var names []string
	for name := range r.entries {
		if !r.watched[name] {
			names = append(names, name)
		}
	}
	results, slots := make(chan entryResult, len(names)), make(chan struct{}, maxConcurrentReads)
	for _, name := range names {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			data, stat, events, err := r.conn.GetW(r.path + "/" + name)
			results <- entryResult{name, data, stat, events, err}
		}()
	}
	for range names {
		result := <-results
		hasRead = true
		if readErr := r.applyEntry(ctx, &result); readErr != nil {
			err = readErr
		}
	}
	return hasRead, err
}

// applyEntry applies the result of reading an entry. Invalid data is reported to onError and is not returned as an error.
func (r *Reader) applyEntry(ctx context.Context, result *entryResult) error {
	if errors.Is(result.err, zk.ErrNoNode) { // removed since the children were read; the watch of the children reports it too
		r.removeEntry(result.name)
		return nil
	}
	if result.err != nil {
		return fmt.Errorf("read entry %s/%s: %w", r.path, result.name, result.err)
	}
	r.watched[result.name] = true
	r.awaitWatch(ctx, result.name, result.events)
	entry, err := ParseEntry(result.name, result.data)
	if err != nil {
		r.onError(fmt.Errorf("parse entry %s/%s: %w", r.path, result.name, err))
		r.unreadable[result.name] = true
		return nil
	}
	delete(r.unreadable, result.name)
	entry.OwnerSession = result.stat.EphemeralOwner
	entry.CreatedZxid = result.stat.Czxid
	entry.CreatedUnixMS = result.stat.Ctime
	r.entries[result.name] = entry
	return nil
}

// sleep pauses for the duration. It returns false if the context ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
