// Package server is a stand-in for a server of the fleet: a model of its queue and cores, free of I/O, and a listener that
// speaks to nodes for it. Work is timed, not burnt, so that many servers fit on one machine.
package server

import (
	"slices"
	"time"
)

// Figures of a server, as scenario.Servers states them.
type Figures struct {
	Cores        int
	Speed        float64 // of a core; work is stated for speed 1
	Queue        int     // jobs that may wait
	ColdShare    float64 // of its capacity right after a start
	ColdFor      time.Duration
	KeyGain      float64 // share of work that is saved for a key met within KeyFor
	KeyFor       time.Duration
	Keys         int // how many are remembered
	Drops        bool
	FallMultiple float64 // times what a cold server can do
	FallWindow   time.Duration
	Handshake    time.Duration // work of a new connection, with its first request
	FastCGI      bool          // what it speaks; else HTTP
	Connections  int           // that it holds; 0: any number
}

// Work is one request in the hands of a server.
type Work struct {
	ID    uint64
	Work  time.Duration
	Key   int           // 0: none
	Until time.Duration // when its sender stops waiting
}

// Step is what becomes of a request at a server.
type Step uint8

// Steps of a request.
const (
	Began   Step = iota // its work runs; from here on it has had its effect
	Done                // its work is over
	Expired             // it was over before its turn, and has not begun
	Lost                // the server died with it
)

// Event is one step of a request.
type Event struct {
	ID   uint64
	Step Step
	At   time.Duration
}

// Admission is whether a server takes a request.
type Admission uint8

// Answers to a request.
const (
	Admitted Admission = iota // it runs or waits
	Full                      // its queue takes no more
	Down                      // it does not run
)

type running struct {
	id   uint64
	ends time.Duration
}

type offered struct {
	at   time.Duration
	work time.Duration
}

// Model is one server. Times are spans since a common start and must not go back.
type Model struct {
	f       Figures
	up      bool
	fallen  bool
	cold    bool
	started time.Duration
	factor  float64 // how many times slower it works at present
	paused  bool
	since   time.Duration // of the pause
	queue   []Work
	cores   []running
	keys    map[int]time.Duration // when each was met last
	offers  []offered             // while cold, within the fall window
}

// New returns a server that has been running for long.
func New(f Figures) *Model {
	return &Model{f: f, up: true, factor: 1, keys: map[int]time.Duration{}}
}

// Running reports whether the process is there; Fallen, that it was pushed over.
func (m *Model) Running() bool { return m.up }

// Fallen reports that it was sent too much while cold, and stays down.
func (m *Model) Fallen() bool { return m.fallen }

// InFlight is how many jobs wait and run.
func (m *Model) InFlight() (waiting, working int) { return len(m.queue), len(m.cores) }

// capacity is the share of its full capacity that the server has.
func (m *Model) capacity(now time.Duration) float64 {
	if !m.cold || m.f.ColdFor <= 0 {
		return 1
	}
	age := float64(now-m.started) / float64(m.f.ColdFor)
	if age >= 1 {
		m.cold, m.offers = false, nil
		return 1
	}
	return m.f.ColdShare + (1-m.f.ColdShare)*max(age, 0)
}

// Offer hands over a job whose last byte has come. Jobs that fall the server are lost with the others.
func (m *Model) Offer(now time.Duration, j Work, tell func(Event)) Admission {
	m.Advance(now, tell)
	if !m.up {
		return Down
	}
	if m.cold {
		m.count(now, j)
		if m.fallen {
			m.die(now, tell)
			return Down
		}
	}
	if len(m.cores) >= m.f.Cores && len(m.queue) >= m.f.Queue || m.paused && len(m.queue) >= m.f.Queue {
		return Full
	}
	m.queue = append(m.queue, j)
	m.begin(now, tell)
	return Admitted
}

// count keeps what a cold server was sent within the window; more than the multiple of what it can do now falls it.
func (m *Model) count(now time.Duration, j Work) {
	can := m.capacity(now) * float64(m.f.Cores) * m.f.Speed
	if !m.cold || m.f.FallMultiple <= 0 {
		return
	}
	m.offers = append(m.offers, offered{now, j.Work})
	sum := time.Duration(0)
	m.offers = slices.DeleteFunc(m.offers, func(o offered) bool {
		if o.at <= now-m.f.FallWindow {
			return true
		}
		sum += o.work
		return false
	})
	m.fallen = float64(sum) > m.f.FallMultiple*can*float64(m.f.FallWindow)
}

// Advance plays what is due up to now.
func (m *Model) Advance(now time.Duration, tell func(Event)) {
	for {
		at, ok := m.Next()
		if !ok || at > now {
			return
		}
		i := slices.IndexFunc(m.cores, func(r running) bool { return r.ends == at })
		id := m.cores[i].id
		m.cores = slices.Delete(m.cores, i, i+1)
		tell(Event{id, Done, at})
		m.begin(at, tell)
	}
}

// Next is when the next work is over, if any runs.
func (m *Model) Next() (time.Duration, bool) {
	if m.paused || len(m.cores) == 0 {
		return 0, false
	}
	at := m.cores[0].ends
	for _, r := range m.cores[1:] {
		at = min(at, r.ends)
	}
	return at, true
}

func (m *Model) begin(now time.Duration, tell func(Event)) {
	for !m.paused && len(m.cores) < m.f.Cores && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[:copy(m.queue, m.queue[1:])]
		if m.f.Drops && now >= j.Until {
			tell(Event{j.ID, Expired, now})
			continue
		}
		work := float64(j.Work) * m.known(now, j.Key) * m.factor / (m.f.Speed * m.capacity(now))
		m.cores = append(m.cores, running{j.ID, now + time.Duration(work)})
		tell(Event{j.ID, Began, now})
	}
}

// known is the share of a job's work that is left where its key was met lately. The key met longest ago is forgotten
// for a new one.
func (m *Model) known(now time.Duration, key int) float64 {
	if key == 0 || m.f.KeyGain == 0 {
		return 1
	}
	left := 1.0
	if met, ok := m.keys[key]; ok && now-met <= m.f.KeyFor {
		left = 1 - m.f.KeyGain
	} else if !ok && len(m.keys) >= m.f.Keys {
		oldest, at := 0, now+1
		for k, met := range m.keys {
			if met < at || met == at && k < oldest {
				oldest, at = k, met
			}
		}
		delete(m.keys, oldest)
	}
	m.keys[key] = now
	return left
}

// Slow has work that begins from now on take so many times longer; 1 ends that.
func (m *Model) Slow(factor float64) { m.factor = factor }

// Pause stops all work where it is.
func (m *Model) Pause(now time.Duration, tell func(Event)) {
	m.Advance(now, tell)
	if !m.paused {
		m.paused, m.since = true, now
	}
}

// Resume goes on with it.
func (m *Model) Resume(now time.Duration, tell func(Event)) {
	if !m.paused {
		return
	}
	m.paused = false
	for i := range m.cores {
		m.cores[i].ends += now - m.since
	}
	m.begin(now, tell)
}

// Crash ends the process with all that it holds.
func (m *Model) Crash(now time.Duration, tell func(Event)) {
	m.Advance(now, tell)
	m.die(now, tell)
}

func (m *Model) die(now time.Duration, tell func(Event)) {
	m.up = false
	for _, j := range m.queue {
		tell(Event{j.ID, Lost, now})
	}
	for _, r := range m.cores {
		tell(Event{r.id, Lost, now})
	}
	m.queue, m.cores, m.offers, m.paused, m.factor = nil, nil, nil, false, 1
	clear(m.keys)
}

// Start brings a process that has ended back, cold. One that fell stays down.
func (m *Model) Start(now time.Duration) bool {
	if m.fallen || m.up {
		return false
	}
	m.up, m.cold, m.started = true, true, now
	return true
}
