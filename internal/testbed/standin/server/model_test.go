package server

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// waits offers requests to a model and returns how long each waited in the queue.
func waits(settings Settings, n int, gap, work func() time.Duration) []float64 {
	m := New(settings)
	offeredAt := make([]time.Duration, n)
	waited := make([]float64, 0, n)
	report := func(e Event) {
		if e.Step == Began {
			waited = append(waited, (e.At - offeredAt[e.ID]).Seconds())
		}
	}
	now := time.Duration(0)
	for i := range n {
		now += gap()
		offeredAt[i] = now
		m.Offer(now, Work{ID: uint64(i), Work: work()}, report)
	}
	m.Advance(now+time.Hour, report)
	return waited
}

// TestQueueing compares the model's mean wait with queueing theory: M/M/1 and M/M/c by Erlang's formula, and M/D/c by
// Cosmetatos' approximation, which is within 2% of the tables at these loads. With 400,000 requests the random error is
// about 2%.
func TestQueueing(t *testing.T) {
	const mean = 10 * ms
	erlangC := func(c int, a float64) float64 {
		sum, term := 0.0, 1.0
		for k := range c {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		last := term * a / float64(c) * float64(c) / (float64(c) - a)
		return last / (sum + last)
	}
	mmc := func(c int, rho float64) float64 { // mean wait
		return erlangC(c, rho*float64(c)) * mean.Seconds() / (float64(c) * (1 - rho))
	}
	mdc := func(c int, rho float64) float64 {
		n := float64(c)
		return mmc(c, rho) / 2 * (1 + (1-rho)*(n-1)*(math.Sqrt(4+5*n)-2)/(16*rho*n))
	}
	for name, c := range map[string]struct {
		cores    int
		rho      float64
		constant bool
		want     float64
	}{
		"M/M/1 at 0.5": {1, 0.5, false, mmc(1, 0.5)},
		"M/M/1 at 0.8": {1, 0.8, false, mmc(1, 0.8)},
		"M/M/4 at 0.8": {4, 0.8, false, mmc(4, 0.8)},
		"M/D/1 at 0.8": {1, 0.8, true, mdc(1, 0.8)},
		"M/D/4 at 0.8": {4, 0.8, true, mdc(4, 0.8)},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			gap := func() time.Duration {
				return time.Duration(r.ExpFloat64() * float64(mean) / (c.rho * float64(c.cores)))
			}
			work := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) }
			if c.constant {
				work = func() time.Duration { return mean }
			}
			got := 0.0
			all := waits(Settings{Cores: c.cores, Speed: 1, Queue: 1 << 30}, 400_000, gap, work)
			for _, w := range all {
				got += w / float64(len(all))
			}
			if math.Abs(got/c.want-1) > 0.05 {
				t.Errorf("mean wait: got %.3f ms, want %.3f ms", 1000*got, 1000*c.want)
			}
		})
	}
}

// TestModel checks the admissions and events of short sequences of requests and faults.
func TestModel(t *testing.T) {
	type reported struct {
		id   uint64
		step Step
		at   time.Duration
	}
	basic := Settings{Cores: 1, Speed: 2, Queue: 1}
	cold := Settings{Cores: 1, Speed: 1, Queue: 99, ColdShare: 0.5, ColdFor: 10 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second}
	for name, c := range map[string]struct {
		settings   Settings
		run        func(m *Model, report func(Event)) []Admission
		admissions []Admission
		events     []reported
	}{
		"speed": {basic, func(m *Model, report func(Event)) []Admission {
			v := m.Offer(0, Work{ID: 1, Work: 20 * ms}, report)
			m.Advance(time.Second, report)
			return []Admission{v}
		}, []Admission{Admitted}, []reported{{1, Began, 0}, {1, Done, 10 * ms}}},
		"one runs, one waits, one is rejected": {basic, func(m *Model, report func(Event)) (v []Admission) {
			for i := range 3 {
				v = append(v, m.Offer(0, Work{ID: uint64(i), Work: 20 * ms}, report))
			}
			m.Advance(time.Second, report)
			return v
		}, []Admission{Admitted, Admitted, Full}, []reported{{0, Began, 0}, {0, Done, 10 * ms}, {1, Began, 10 * ms}, {1, Done, 20 * ms}}},
		"deadline passes in the queue": {Settings{Cores: 1, Speed: 1, Queue: 9, DropsExpired: true}, func(m *Model, report func(Event)) []Admission {
			m.Offer(0, Work{ID: 1, Work: 20 * ms, Deadline: time.Second}, report)
			m.Offer(0, Work{ID: 2, Work: 20 * ms, Deadline: 15 * ms}, report)
			m.Advance(time.Second, report)
			return nil
		}, nil, []reported{{1, Began, 0}, {1, Done, 20 * ms}, {2, Expired, 20 * ms}}},
		"pause": {basic, func(m *Model, report func(Event)) []Admission {
			m.Offer(0, Work{ID: 1, Work: 20 * ms}, report)
			m.Pause(4*ms, report)
			v := m.Offer(50*ms, Work{ID: 2, Work: 20 * ms}, report)
			m.Resume(104*ms, report)
			m.Advance(time.Second, report)
			return []Admission{v}
		}, []Admission{Admitted}, []reported{{1, Began, 0}, {1, Done, 110 * ms}, {2, Began, 110 * ms}, {2, Done, 120 * ms}}},
		"slow": {basic, func(m *Model, report func(Event)) []Admission {
			m.SetSlowdown(5)
			m.Offer(0, Work{ID: 1, Work: 20 * ms}, report)
			m.Advance(time.Second, report)
			return nil
		}, nil, []reported{{1, Began, 0}, {1, Done, 50 * ms}}},
		"cached key": {Settings{Cores: 1, Speed: 1, Queue: 9, KeyGain: 0.5, KeyFor: time.Second, Keys: 1}, func(m *Model, report func(Event)) []Admission {
			for i, key := range []int{7, 7, 8, 7} { // key 8 evicts key 7 before the last request
				m.Offer(time.Duration(i)*100*ms, Work{ID: uint64(i), Work: 20 * ms, Key: key}, report)
			}
			m.Offer(2*time.Second, Work{ID: 4, Work: 20 * ms, Key: 7}, report) // the key has expired
			m.Advance(time.Hour, report)
			return nil
		}, nil, []reported{{0, Began, 0}, {0, Done, 20 * ms}, {1, Began, 100 * ms}, {1, Done, 110 * ms}, {2, Began, 200 * ms}, {2, Done, 220 * ms},
			{3, Began, 300 * ms}, {3, Done, 320 * ms}, {4, Began, 2000 * ms}, {4, Done, 2020 * ms}}},
		"crash and slow start": {cold, func(m *Model, report func(Event)) []Admission {
			m.Offer(0, Work{ID: 1, Work: 20 * ms}, report)
			m.Offer(0, Work{ID: 2, Work: 20 * ms}, report)
			m.Crash(5*ms, report)
			v := []Admission{m.Offer(6*ms, Work{ID: 3, Work: 20 * ms}, report)}
			m.Start(10 * time.Second)
			v = append(v, m.Offer(10*time.Second, Work{ID: 4, Work: 20 * ms}, report))
			m.Advance(time.Hour, report)
			return v
		}, []Admission{Down, Admitted}, []reported{{1, Began, 0}, {2, Lost, 5 * ms}, {1, Lost, 5 * ms}, {4, Began, 10 * time.Second}, {4, Done, 10*time.Second + 40*ms}}},
		"overloaded while cold": {cold, func(m *Model, report func(Event)) []Admission {
			m.Crash(0, report)
			m.Start(0)
			v := []Admission{m.Offer(0, Work{ID: 1, Work: 900 * ms}, report), m.Offer(0, Work{ID: 2, Work: 200 * ms}, report)}
			if !m.IsOverloaded() || m.Start(time.Second) {
				v = nil
			}
			return v
		}, []Admission{Admitted, Down}, []reported{{1, Began, 0}, {1, Lost, 0}}},
		"same work over a longer time": {cold, func(m *Model, report func(Event)) []Admission {
			m.Crash(0, report)
			m.Start(0)
			v := []Admission{m.Offer(0, Work{ID: 1, Work: 900 * ms}, func(Event) {}), m.Offer(1001*ms, Work{ID: 2, Work: 200 * ms}, func(Event) {})}
			return v
		}, []Admission{Admitted, Admitted}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []reported
			v := c.run(New(c.settings), func(e Event) { got = append(got, reported{e.ID, e.Step, e.At}) })
			if !slices.Equal(v, c.admissions) || !slices.Equal(got, c.events) {
				t.Errorf("got admissions %v and events\n%v", v, got)
			}
		})
	}
}
