// Package server is a stand-in for a server. Model simulates its queue and cores without I/O. Server accepts connections of
// nodes in HTTP or FastCGI, passes their requests to a Model, which it guards by a lock, and injects faults. Work takes time but
// no CPU, so that many servers fit on one machine. The testbed calls Server's methods; a Watcher is notified of requests,
// executions and responses.
package server

import (
	"slices"
	"time"
)

// Settings of a server, as in scenario.Servers.
type Settings struct {
	Cores          int
	Speed          float64 // of a core; work is stated for speed 1
	Queue          int     // maximum number of waiting requests
	ColdShare      float64 // share of its capacity at the begin of slow start
	ColdFor        time.Duration
	KeyGain        float64 // share of work that is saved for a cached key
	KeyFor         time.Duration
	Keys           int     // maximum number of cached keys
	DropsExpired   bool    // a request whose deadline passed in the queue is not executed
	OverloadFactor float64 // multiple of its present capacity that overloads a cold server; 0: no load does
	OverloadWindow time.Duration
	Handshake      time.Duration // additional work of the first request on a connection
	FastCGI        bool          // speaks FastCGI, not HTTP
	Connections    int           // maximum number; 0: unlimited
}

// Work is a request at a server.
type Work struct {
	ID       uint64
	Work     time.Duration // on a core of speed 1
	Key      int           // 0: none
	Deadline time.Duration // when the sender stops waiting
}

// Step is a step of a request at a server.
type Step uint8

// Steps of a request.
const (
	Began   Step = iota // execution began; from here on the request counts as executed
	Done                // execution ended
	Expired             // its deadline passed in the queue; it did not run
	Lost                // the server crashed with it
)

// Event is one step of a request.
type Event struct {
	ID   uint64
	Step Step
	At   time.Duration
}

// Admission is whether a server admits a request.
type Admission uint8

// Admissions of a request.
const (
	Admitted Admission = iota // it runs or is queued
	Full                      // the queue is full
	Down                      // the process does not run
)

// running is a request on a core.
type running struct {
	id   uint64
	ends time.Duration
}

// offeredWork is work that was offered to a cold server.
type offeredWork struct {
	at   time.Duration
	work time.Duration
}

// Model is the state machine of a server. Times count from a common start and must not decrease. Methods report events, in
// order of time, to the function that they receive. A Model is not safe for concurrent use.
type Model struct {
	settings     Settings
	isRunning    bool
	isOverloaded bool
	isCold       bool
	started      time.Duration
	slowdown     float64 // factor by which work takes longer
	isPaused     bool
	pausedAt     time.Duration // begin of the pause
	queue        []Work
	cores        []running
	keys         map[int]time.Duration // cached keys: when each was last used
	offers       []offeredWork         // while cold, within OverloadWindow
}

// New returns a running server that is warm.
func New(settings Settings) *Model {
	return &Model{settings: settings, isRunning: true, slowdown: 1, keys: map[int]time.Duration{}}
}

// IsRunning reports whether the process runs.
func (m *Model) IsRunning() bool { return m.isRunning }

// IsOverloaded reports whether the server was overloaded while cold. It then crashed and cannot be started again.
func (m *Model) IsOverloaded() bool { return m.isOverloaded }

// InFlight returns how many requests wait and run.
func (m *Model) InFlight() (waiting, working int) { return len(m.queue), len(m.cores) }

// capacity returns the server's present share of its full capacity, which grows linearly during slow start, and ends slow start
// after ColdFor.
func (m *Model) capacity(now time.Duration) float64 {
	if !m.isCold || m.settings.ColdFor <= 0 {
		return 1
	}
	age := float64(now-m.started) / float64(m.settings.ColdFor)
	if age >= 1 {
		m.isCold, m.offers = false, nil
		return 1
	}
	return m.settings.ColdShare + (1-m.settings.ColdShare)*max(age, 0)
}

// Offer offers a request that was received completely. A request that overloads a cold server crashes it.
func (m *Model) Offer(now time.Duration, work Work, report func(Event)) Admission {
	m.Advance(now, report)
	if !m.isRunning {
		return Down
	}
	if m.isCold {
		m.checkOverload(now, work)
		if m.isOverloaded {
			m.fail(now, report)
			return Down
		}
	}
	if len(m.cores) >= m.settings.Cores && len(m.queue) >= m.settings.Queue || m.isPaused && len(m.queue) >= m.settings.Queue {
		return Full
	}
	m.queue = append(m.queue, work)
	m.startWork(now, report)
	return Admitted
}

// checkOverload records work offered to a cold server and marks the server as overloaded if the work within the window
// exceeds OverloadFactor times its present capacity.
func (m *Model) checkOverload(now time.Duration, work Work) {
	capacity := m.capacity(now) * float64(m.settings.Cores) * m.settings.Speed
	if !m.isCold || m.settings.OverloadFactor <= 0 {
		return
	}
	m.offers = append(m.offers, offeredWork{now, work.Work})
	sum := time.Duration(0)
	m.offers = slices.DeleteFunc(m.offers, func(o offeredWork) bool {
		if o.at <= now-m.settings.OverloadWindow {
			return true
		}
		sum += o.work
		return false
	})
	m.isOverloaded = float64(sum) > m.settings.OverloadFactor*capacity*float64(m.settings.OverloadWindow)
}

// Advance ends executions that are due by now and begins queued ones.
func (m *Model) Advance(now time.Duration, report func(Event)) {
	for {
		at, ok := m.Next()
		if !ok || at > now {
			return
		}
		i := slices.IndexFunc(m.cores, func(r running) bool { return r.ends == at })
		id := m.cores[i].id
		m.cores = slices.Delete(m.cores, i, i+1)
		report(Event{id, Done, at})
		m.startWork(at, report)
	}
}

// Next returns when the next execution ends, if any runs.
func (m *Model) Next() (time.Duration, bool) {
	if m.isPaused || len(m.cores) == 0 {
		return 0, false
	}
	at := m.cores[0].ends
	for _, r := range m.cores[1:] {
		at = min(at, r.ends)
	}
	return at, true
}

// startWork moves requests from the queue to free cores.
func (m *Model) startWork(now time.Duration, report func(Event)) {
	for !m.isPaused && len(m.cores) < m.settings.Cores && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[:copy(m.queue, m.queue[1:])]
		if m.settings.DropsExpired && now >= j.Deadline {
			report(Event{j.ID, Expired, now})
			continue
		}
		work := float64(j.Work) * m.cacheFactor(now, j.Key) * m.slowdown / (m.settings.Speed * m.capacity(now))
		m.cores = append(m.cores, running{j.ID, now + time.Duration(work)})
		report(Event{j.ID, Began, now})
	}
}

// cacheFactor returns the share of work that a key leaves, and caches the key. The least recently used key is evicted if the
// cache is full.
func (m *Model) cacheFactor(now time.Duration, key int) float64 {
	if key == 0 || m.settings.KeyGain == 0 {
		return 1
	}
	left := 1.0
	if usedAt, ok := m.keys[key]; ok && now-usedAt <= m.settings.KeyFor {
		left = 1 - m.settings.KeyGain
	} else if !ok && len(m.keys) >= m.settings.Keys {
		oldest, at := 0, now+1
		for k, usedAt := range m.keys {
			if usedAt < at || usedAt == at && k < oldest {
				oldest, at = k, usedAt
			}
		}
		delete(m.keys, oldest)
	}
	m.keys[key] = now
	return left
}

// SetSlowdown sets the factor by which the duration of work that starts later is multiplied.
func (m *Model) SetSlowdown(factor float64) { m.slowdown = factor }

// Pause pauses the process.
func (m *Model) Pause(now time.Duration, report func(Event)) {
	m.Advance(now, report)
	if !m.isPaused {
		m.isPaused, m.pausedAt = true, now
	}
}

// Resume resumes a paused process.
func (m *Model) Resume(now time.Duration, report func(Event)) {
	if !m.isPaused {
		return
	}
	m.isPaused = false
	for i := range m.cores {
		m.cores[i].ends += now - m.pausedAt
	}
	m.startWork(now, report)
}

// Crash ends the process. Its requests are lost.
func (m *Model) Crash(now time.Duration, report func(Event)) {
	m.Advance(now, report)
	m.fail(now, report)
}

// fail ends the process and reports its requests as lost.
func (m *Model) fail(now time.Duration, report func(Event)) {
	m.isRunning = false
	for _, j := range m.queue {
		report(Event{j.ID, Lost, now})
	}
	for _, r := range m.cores {
		report(Event{r.id, Lost, now})
	}
	m.queue = nil
	m.cores = nil
	m.offers = nil
	m.isPaused = false
	m.slowdown = 1
	clear(m.keys)
}

// Start starts a process that has ended, in slow start. It returns false if it runs or was overloaded.
func (m *Model) Start(now time.Duration) bool {
	if m.isOverloaded || m.isRunning {
		return false
	}
	m.isRunning = true
	m.isCold = true
	m.started = now
	return true
}
