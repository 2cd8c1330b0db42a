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
	// minReadInterval is the least time between two readings, so that a burst of events is one reading.
	minReadInterval = 50 * time.Millisecond
	// readIntervalSpread is added to it at random, so that the readers of one change come one after another.
	readIntervalSpread = 50 * time.Millisecond
	// initialRetryDelay is the pause after a first failed reading. It doubles with each further one, up to maxRetryDelay.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// maxConcurrentReads limits the entries that are read at the same time.
	maxConcurrentReads = 16
)

// childrenEvent stands in Reader.events for the watch of the children; it is the name of no entry.
const childrenEvent = ""

// Reader follows the children of one path. conn, path and events do not change and are used by several goroutines; all
// other fields are used by the goroutine of Run only.
type Reader struct {
	conn     Conn
	path     string
	onChange func([]endpoints.RegistryEntry)
	onError  func(error)

	entries map[string]endpoints.RegistryEntry // by name; zero but for the ID until they are read
	// unreadable are the entries whose data cannot be parsed. They are left out of the lists, so a server that was in use
	// goes out of use as if its entry had been removed. They are watched as the others and read again when their data
	// changes, not whenever the children do: each reading leaves a watch behind.
	unreadable map[string]bool
	// watched are the entries whose data is watched. The watch ends with its one event.
	watched         map[string]bool
	childrenWatched bool
	events          chan string // names of entries whose watch has fired, or childrenEvent
}

// NewReader returns a Reader that calls onChange with all entries whenever they have changed, and onError with what cannot
// be read. Both are called from Run.
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

// Run follows the path until the context ends, and closes the connection. It returns nil.
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

// readable returns all entries but those that cannot be parsed.
func (r *Reader) readable() []endpoints.RegistryEntry {
	all := make([]endpoints.RegistryEntry, 0, len(r.entries))
	for name, entry := range r.entries {
		if !r.unreadable[name] {
			all = append(all, entry)
		}
	}
	return all
}

// awaitEvents waits for an event and takes those that come within the read interval with it. It returns false if the
// context has ended.
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

// awaitWatch starts a goroutine that passes on the one event of a watch.
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

// readUnwatched reads the children and the entries that are not watched, and watches them.
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

// readChildren takes over which entries there are.
func (r *Reader) readChildren(ctx context.Context) error {
	names, _, events, err := r.conn.ChildrenW(r.path)
	if err != nil {
		return fmt.Errorf("%s: %w", r.path, err)
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

// entryResult is the registry's reply to the reading of one entry.
type entryResult struct {
	name   string
	data   []byte
	stat   *zk.Stat
	events <-chan zk.Event
	err    error
}

// readEntries reads all entries that are not watched. hasRead reports whether there were any; err is that of one of them.
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
		if failure := r.applyEntry(ctx, &result); failure != nil {
			err = failure
		}
	}
	return hasRead, err
}

// applyEntry takes over what was read of an entry. An entry that cannot be parsed is left out and is no error.
func (r *Reader) applyEntry(ctx context.Context, result *entryResult) error {
	if errors.Is(result.err, zk.ErrNoNode) { // removed since the children were read; their watch says so too
		r.removeEntry(result.name)
		return nil
	}
	if result.err != nil {
		return fmt.Errorf("%s/%s: %w", r.path, result.name, result.err)
	}
	r.watched[result.name] = true
	r.awaitWatch(ctx, result.name, result.events)
	entry, err := ParseEntry(result.name, result.data)
	if err != nil {
		r.onError(fmt.Errorf("%s/%s: %w", r.path, result.name, err))
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

// sleep returns false if the context ends first.
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
