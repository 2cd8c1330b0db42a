package replication

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a small cluster in virtual time with one origin. Holders may lose their disks and connections may
// break.
type simulation struct {
	now         time.Duration
	candidates  []Candidate
	origin      *Origin
	disk        map[string]Ranges // durable records at each node
	replicas    map[string]*ReplicaTable
	connected   map[string]bool
	alive       map[string]bool
	incarnation map[string]int64
	partitioned map[string]bool
	inFlight    []Outgoing // from the origin to holders
	replies     []reply    // from holders to the origin
}

type reply struct {
	from    string
	message any
}

func newSimulation(n, required int) *simulation {
	all := testCandidates(n)
	for i := range all {
		all[i].Machine = all[i].Name
	}
	s := &simulation{
		candidates:  all,
		disk:        map[string]Ranges{},
		replicas:    map[string]*ReplicaTable{},
		connected:   map[string]bool{},
		alive:       map[string]bool{},
		incarnation: map[string]int64{},
		partitioned: map[string]bool{},
	}
	s.origin = NewOrigin(0, Stream{Name: "n0", Incarnation: 1}, all[0], required, 50*time.Millisecond)
	for _, c := range all[1:] {
		s.start(c)
	}
	s.updateCandidates()
	return s
}

func (s *simulation) start(c Candidate) {
	s.alive[c.Name] = true
	s.incarnation[c.Name]++
	table := NewReplicaTable(c, s.origin.required, 1<<40, 0)
	for _, r := range s.disk[c.Name] {
		table.RecordsStored(s.origin.stream, r.From, r.To, 0, 0)
	}
	s.replicas[c.Name] = table
}

func (s *simulation) updateCandidates() {
	var others []Candidate
	for _, c := range s.candidates[1:] {
		c.IsHealthy = s.alive[c.Name] && !s.partitioned[c.Name]
		others = append(others, c)
	}
	s.send(s.origin.SetCandidates(s.now, others))
}

func (s *simulation) send(out []Outgoing) { s.inFlight = append(s.inFlight, out...) }

// disconnect closes the connection with a node; messages in flight are lost.
func (s *simulation) disconnect(name string) {
	if s.connected[name] {
		delete(s.connected, name)
		s.inFlight = slices.DeleteFunc(s.inFlight, func(o Outgoing) bool { return o.To == name })
		s.replies = slices.DeleteFunc(s.replies, func(a reply) bool { return a.from == name })
		s.send(s.origin.Disconnected(s.now, name))
	}
}

// restartUnnoticed restarts a node whose connection with the origin stays open, as when its machine vanishes and returns before
// the silence is noticed. The new process connects beside it. Messages in flight are lost.
func (s *simulation) restartUnnoticed(c Candidate) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Outgoing) bool { return o.To == c.Name })
	s.replies = slices.DeleteFunc(s.replies, func(a reply) bool { return a.from == c.Name })
	s.start(c)
	s.send(s.origin.Connected(s.now, c.Name, s.incarnation[c.Name]))
}

// step advances the time, opens wanted connections and, with deliver, delivers the messages in flight.
func (s *simulation) step(d time.Duration, deliver bool) {
	s.now += d
	for _, name := range s.origin.WantedConnections() {
		if s.alive[name] && !s.partitioned[name] {
			s.connected[name] = true
			s.send(s.origin.Connected(s.now, name, s.incarnation[name]))
		}
	}
	s.send(s.origin.Tick(s.now))
	if !deliver {
		return
	}
	inFlight := s.inFlight
	s.inFlight = nil
	for _, o := range inFlight {
		if !s.connected[o.To] {
			continue
		}
		if s.partitioned[o.To] {
			s.inFlight = append(s.inFlight, o)
			continue
		}
		table := s.replicas[o.To]
		switch m := o.Message.(type) {
		case *Offer:
			for _, a := range table.HandleOffer(s.now, "n0", m) {
				s.reply(o.To, a.Message)
			}
		case *Batch:
			ok, out := table.AdmitBatch("n0", m, 0, 0)
			for _, a := range out {
				s.reply(o.To, a.Message)
			}
			if ok {
				s.disk[o.To] = s.disk[o.To].With(m.First, m.First+uint64(m.Count))
				table.RecordsStored(m.Stream, m.First, m.First+uint64(m.Count), 0, 0)
				s.reply(o.To, &Ack{Stream: m.Stream, First: m.First, Count: m.Count})
			}
		}
	}
	replies := s.replies
	s.replies = nil
	for _, b := range replies {
		s.send(s.origin.HandleMessage(s.now, b.from, b.message))
	}
	for _, name := range s.origin.WantedConnections() { // copies from disk
		for _, r := range s.origin.MissingAt(name) {
			if s.connected[name] && !s.partitioned[name] {
				s.disk[name] = s.disk[name].With(r.From, r.To)
				s.replicas[name].RecordsStored(s.origin.stream, r.From, r.To, 0, 0)
				s.send(s.origin.HandleMessage(s.now, name, &Ack{Stream: s.origin.stream, First: r.From, Count: int(r.To - r.From)}))
			}
		}
	}
}

func (s *simulation) reply(from string, message any) {
	s.replies = append(s.replies, reply{from, message})
}

// holders returns the number of disks on which a record is stored.
func (s *simulation) holders(n uint64) (count int) {
	for _, r := range s.disk {
		if r.Contains(n, n+1) {
			count++
		}
	}
	return count
}

// For any sequence of failures of holders and connections, a record is durable on the required number of disks when it
// is committed, and every record is committed after all nodes have recovered.
func TestCommittedIsStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		required := rapid.IntRange(1, 3).Draw(t, "required")
		s := newSimulation(rapid.IntRange(required+1, 7).Draw(t, "nodes"), required)
		stored := uint64(1)
		before := s.origin.Committed()
		check := func() {
			for n := before; n < s.origin.Committed(); n++ {
				if s.holders(n) < required {
					t.Fatalf("record %d is committed but stored on %d disks, want %d", n, s.holders(n), required)
				}
			}
			before = s.origin.Committed()
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(s.candidates[1:]).Draw(t, "node").Name
			switch rapid.IntRange(0, 10).Draw(t, "what") {
			case 0, 1, 2:
				n := rapid.IntRange(1, 5).Draw(t, "n")
				first, out := s.origin.Append(s.now, n, []byte{1}, rapid.Bool().Draw(t, "awaited"))
				s.send(out)
				s.origin.RecordsStored(first, first+uint64(n))
				stored = first + uint64(n)
			case 3, 4, 5:
				s.step(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond, true)
			case 6:
				s.step(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond, false)
			case 7: // crash, with or without loss of the disk
				switch rapid.SampledFrom([]string{"disk kept", "disk lost", "an old disk"}).Draw(t, "with") {
				case "disk lost":
					delete(s.disk, name)
				case "an old disk":
					half := s.disk[name].Count() / 2
					s.disk[name] = s.disk[name].Without(Ranges{{From: half + 1, To: 1 << 60}})
				}
				s.disconnect(name)
				delete(s.alive, name)
				s.updateCandidates()
				before = s.origin.Committed()
			case 8:
				if c := s.candidates[slices.IndexFunc(s.candidates, func(c Candidate) bool { return c.Name == name })]; !s.alive[name] {
					s.start(c)
				}
				s.updateCandidates()
			case 9:
				if s.partitioned[name] = !s.partitioned[name]; s.partitioned[name] && rapid.Bool().Draw(t, "known") {
					s.disconnect(name)
				}
				s.updateCandidates()
			case 10: // the machine is lost with its disk and returns before its connections end
				if s.alive[name] && s.connected[name] && !s.partitioned[name] {
					delete(s.disk, name)
					s.restartUnnoticed(s.candidates[slices.IndexFunc(s.candidates, func(c Candidate) bool { return c.Name == name })])
					before = s.origin.Committed()
				}
			}
			check()
		}
		for _, c := range s.candidates[1:] {
			delete(s.partitioned, c.Name)
			if !s.alive[c.Name] {
				s.start(c)
			}
		}
		s.updateCandidates()
		for range 60 {
			s.step(500*time.Millisecond, true)
			check()
		}
		for n := uint64(1); n < stored; n++ {
			if s.holders(n) < required {
				t.Fatalf("30 s after all nodes recovered: record %d of %d is stored on %d disks, want %d: %+v", n, stored-1, s.holders(n), required, s.origin.Holders())
			}
		}
		if s.origin.Committed() < stored {
			t.Fatalf("30 s after all nodes recovered: first uncommitted record is %d, want %d: %+v", s.origin.Committed(), stored, s.origin.Holders())
		}
	})
}

// A holder that becomes silent delays commits only until the ack timeout, and is replaced by one holder.
func TestSilentHolder(t *testing.T) {
	s := newSimulation(6, 2)
	for range 20 {
		s.step(10*time.Millisecond, true)
	}
	silent := s.origin.WantedConnections()[0]
	s.partitioned[silent] = true // the origin is not notified
	first, out := s.origin.Append(s.now, 1, []byte{1}, true)
	s.send(out)
	began := s.now
	for s.origin.Committed() <= first && s.now < began+time.Second {
		s.step(5*time.Millisecond, true)
	}
	if took := s.now - began; took > 100*time.Millisecond {
		t.Errorf("got a commit after %v with silent holder %s, want at most 100 ms: %+v", took, silent, s.origin.Holders())
	}
	if n := len(s.origin.WantedConnections()); n != 3 {
		t.Errorf("got %d holders, want 3", n)
	}
	if stalled := s.origin.StalledFor(s.now); stalled > 0 {
		t.Errorf("StalledFor: got %v, want 0", stalled)
	}
}

// TestHolderReturnsBeforeItsConnectionEnds guards against a holder that counts as in sync with the records of its former
// incarnation, whose disk is lost.
func TestHolderReturnsBeforeItsConnectionEnds(t *testing.T) {
	s := newSimulation(3, 1)
	for range 20 {
		s.step(10*time.Millisecond, true)
	}
	first, out := s.origin.Append(s.now, 10, []byte{1}, true)
	s.send(out)
	s.origin.RecordsStored(first, first+10)
	s.step(10*time.Millisecond, true)
	name := s.origin.WantedConnections()[0]
	if n := s.holders(first); n != 1 {
		t.Fatalf("got %d holders of the records, want 1", n)
	}
	delete(s.disk, name)
	s.restartUnnoticed(s.candidates[slices.IndexFunc(s.candidates, func(c Candidate) bool { return c.Name == name })])
	for range 20 {
		s.step(10*time.Millisecond, true)
	}
	for n := first; n < first+10; n++ {
		if s.holders(n) != 1 {
			t.Errorf("record %d after the holder has returned with an empty disk: got %d holders, want 1: %+v", n, s.holders(n), s.origin.Holders())
		}
	}
}
