package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// What nodes say of streams comes back as it was said.
func TestWords(t *testing.T) {
	s := Stream{Name: "n1", Incarnation: 7}
	for _, w := range []any{&Offer{Stream: s, FromOrigin: true, Ranges: Ranges{{From: 1, To: 5}}}, &Inventory{Stream: s, RejectReason: "x"},
		&Batch{Stream: s, First: 3, Count: 2, Frames: []byte{1}}, &Ack{Stream: s, First: 3, Count: 2}} {
		text, err := cbor.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		var back any
		switch w.(type) {
		case *Offer:
			back = &Offer{}
		case *Inventory:
			back = &Inventory{}
		case *Batch:
			back = &Batch{}
		case *Ack:
			back = &Ack{}
		}
		if err := cbor.Unmarshal(text, back); err != nil || fmt.Sprint(back) != fmt.Sprint(w) {
			t.Errorf("%v came back as %v, %v", w, back, err)
		}
	}
}

// Ranges are as sets of numbers are.
func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (r Ranges, set map[uint64]bool) {
			set = map[uint64]bool{}
			for range rapid.IntRange(0, 6).Draw(t, name) {
				from := uint64(rapid.IntRange(1, 30).Draw(t, "from"))
				to := from + uint64(rapid.IntRange(0, 6).Draw(t, "n"))
				r = r.With(from, to)
				for x := from; x < to; x++ {
					set[x] = true
				}
			}
			return r, set
		}
		a, inA := draw("a")
		b, inB := draw("b")
		rest := a.Without(b)
		for _, r := range []Ranges{a, b, rest} {
			if !r.sound() {
				t.Fatalf("%v are no ranges", r)
			}
		}
		for x := uint64(1); x < 40; x++ {
			if a.Contains(x, x+1) != inA[x] || rest.Contains(x, x+1) != (inA[x] && !inB[x]) {
				t.Fatalf("%d of %v without %v: %v", x, a, b, rest)
			}
		}
		if a.Count() != uint64(len(inA)) {
			t.Fatalf("%v are %d", a, len(inA))
		}
	})
}

func candidates(n int) (all []Candidate) {
	for i := range n {
		all = append(all, Candidate{Name: fmt.Sprint("n", i), Site: fmt.Sprint("s", i%3), Machine: fmt.Sprint("m", i/2), IsHealthy: true})
	}
	return all
}

// Holders stand on machines of their own, on as many sites as there are, and a node more or less moves little.
func TestPlaces(t *testing.T) {
	all := candidates(12)
	moved := 0
	for i := range 200 {
		name := fmt.Sprint("stream", i)
		self := all[i%len(all)]
		others := slices.DeleteFunc(slices.Clone(all), func(p Candidate) bool { return p.Name == self.Name })
		chosen := choose(rank(name, others), 2, nil, []Candidate{self})
		machines, sites := map[string]bool{self.Machine: true}, map[string]bool{self.Site: true}
		for _, p := range chosen {
			machines[p.Machine], sites[p.Site] = true, true
		}
		if len(chosen) != 2 || len(machines) != 3 || len(sites) != 3 {
			t.Fatalf("%v for %v", chosen, self)
		}
		fewer := others[:len(others)-1]
		for _, p := range choose(rank(name, fewer), 2, nil, []Candidate{self}) {
			if !slices.Contains(chosen, p) {
				moved++
			}
		}
	}
	if moved > 100 {
		t.Errorf("%d of 400 moved for one node less", moved)
	}
}

// tape is a small tier in virtual time: one origin, keepers that may lose their disks, connections that break.
type tape struct {
	now        time.Duration
	candidates []Candidate
	origin     *Origin
	disk       map[string]Ranges // what lasts at each node, by its disk
	keeper     map[string]*ReplicaTable
	connected  map[string]bool
	alive      map[string]bool
	cut        map[string]bool
	flight     []Outgoing // from the origin to holders
	back       []struct {
		from string
		what any
	}
	life map[string]int64
}

func newTape(n, need int) *tape {
	all := candidates(n)
	for i := range all {
		all[i].Machine = all[i].Name
	}
	w := &tape{candidates: all, disk: map[string]Ranges{}, keeper: map[string]*ReplicaTable{}, connected: map[string]bool{}, alive: map[string]bool{}, cut: map[string]bool{}, life: map[string]int64{}}
	w.origin = NewOrigin(0, Stream{Name: "n0", Incarnation: 1}, all[0], need, 50*time.Millisecond)
	for _, p := range all[1:] {
		w.start(p)
	}
	w.placed()
	return w
}

func (w *tape) start(p Candidate) {
	w.alive[p.Name] = true
	w.life[p.Name]++
	k := NewReplicaTable(p, w.origin.need, 1<<40, 0)
	for _, r := range w.disk[p.Name] {
		k.RecordsStored(w.origin.stream, r.From, r.To, 0, 0)
	}
	w.keeper[p.Name] = k
}

func (w *tape) placed() {
	var others []Candidate
	for _, p := range w.candidates[1:] {
		p.IsHealthy = w.alive[p.Name] && !w.cut[p.Name]
		others = append(others, p)
	}
	w.send(w.origin.SetCandidates(w.now, others))
}

func (w *tape) send(out []Outgoing) { w.flight = append(w.flight, out...) }

// part ends the connection with a node: what was on its way is lost.
func (w *tape) part(name string) {
	if w.connected[name] {
		delete(w.connected, name)
		w.flight = slices.DeleteFunc(w.flight, func(o Outgoing) bool { return o.To == name })
		w.back = slices.DeleteFunc(w.back, func(b struct {
			from string
			what any
		}) bool {
			return b.from == name
		})
		w.send(w.origin.Disconnected(w.now, name))
	}
}

// step lets time pass; connections come up, and what is on its way arrives.
func (w *tape) step(d time.Duration, deliver bool) {
	w.now += d
	for _, name := range w.origin.WantedConnections() {
		if w.alive[name] && !w.cut[name] {
			w.connected[name] = true
			w.send(w.origin.Connected(w.now, name))
		}
	}
	w.send(w.origin.Tick(w.now))
	if !deliver {
		return
	}
	flight := w.flight
	w.flight = nil
	for _, o := range flight {
		if !w.connected[o.To] {
			continue
		}
		if w.cut[o.To] {
			w.flight = append(w.flight, o)
			continue
		}
		k := w.keeper[o.To]
		switch m := o.Message.(type) {
		case *Offer:
			for _, a := range k.HandleOffer(w.now, "n0", m) {
				w.answer(o.To, a.Message)
			}
		case *Batch:
			ok, out := k.AdmitBatch("n0", m, 0, 0)
			for _, a := range out {
				w.answer(o.To, a.Message)
			}
			if ok {
				w.disk[o.To] = w.disk[o.To].With(m.First, m.First+uint64(m.Count))
				k.RecordsStored(m.Stream, m.First, m.First+uint64(m.Count), 0, 0)
				w.answer(o.To, &Ack{Stream: m.Stream, First: m.First, Count: m.Count})
			}
		}
	}
	back := w.back
	w.back = nil
	for _, b := range back {
		w.send(w.origin.HandleMessage(w.now, b.from, b.what))
	}
	for _, name := range w.origin.WantedConnections() { // what is copied from disk beside the serving
		for _, r := range w.origin.MissingAt(name) {
			if w.connected[name] && !w.cut[name] {
				w.disk[name] = w.disk[name].With(r.From, r.To)
				w.keeper[name].RecordsStored(w.origin.stream, r.From, r.To, 0, 0)
				w.send(w.origin.HandleMessage(w.now, name, &Ack{Stream: w.origin.stream, First: r.From, Count: int(r.To - r.From)}))
			}
		}
	}
}

func (w *tape) answer(from string, what any) {
	w.back = append(w.back, struct {
		from string
		what any
	}{from, what})
}

// holders counts the disks on which a record stands.
func (w *tape) holders(n uint64) (count int) {
	for _, r := range w.disk {
		if r.Contains(n, n+1) {
			count++
		}
	}
	return count
}

// Whatever befalls holders and connections: a record that counts as kept stands on so many disks when it does, and when
// all is well again everything is kept.
func TestKeptIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := rapid.IntRange(1, 3).Draw(t, "need")
		w := newTape(rapid.IntRange(need+1, 7).Draw(t, "nodes"), need)
		stored := uint64(1)
		was := w.origin.Committed()
		check := func() {
			for n := was; n < w.origin.Committed(); n++ {
				if w.holders(n) < need {
					t.Fatalf("record %d is kept by %d, not %d", n, w.holders(n), need)
				}
			}
			was = w.origin.Committed()
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(w.candidates[1:]).Draw(t, "node").Name
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				n := rapid.IntRange(1, 5).Draw(t, "n")
				first, out := w.origin.Append(w.now, n, []byte{1}, rapid.Bool().Draw(t, "waited"))
				w.send(out)
				w.origin.RecordsStored(first, first+uint64(n))
				stored = first + uint64(n)
			case 3, 4, 5:
				w.step(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond, true)
			case 6:
				w.step(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond, false)
			case 7: // dies, with its disk or without
				switch rapid.SampledFrom([]string{"disk kept", "disk lost", "an old disk"}).Draw(t, "with") {
				case "disk lost":
					delete(w.disk, name)
				case "an old disk":
					half := w.disk[name].Count() / 2
					w.disk[name] = w.disk[name].Without(Ranges{{From: half + 1, To: 1 << 60}})
				}
				w.part(name)
				delete(w.alive, name)
				w.placed()
				was = w.origin.Committed()
			case 8:
				if p := w.candidates[slices.IndexFunc(w.candidates, func(p Candidate) bool { return p.Name == name })]; !w.alive[name] {
					w.start(p)
				}
				w.placed()
			case 9:
				if w.cut[name] = !w.cut[name]; w.cut[name] && rapid.Bool().Draw(t, "known") {
					w.part(name)
				}
				w.placed()
			}
			check()
		}
		for _, p := range w.candidates[1:] {
			delete(w.cut, p.Name)
			if !w.alive[p.Name] {
				w.start(p)
			}
		}
		w.placed()
		for range 60 {
			w.step(500*time.Millisecond, true)
			check()
		}
		for n := uint64(1); n < stored; n++ {
			if w.holders(n) < need {
				t.Fatalf("30 s after all is well record %d of %d stands on %d of %d disks: %+v", n, stored-1, w.holders(n), need, w.origin.Holders())
			}
		}
		if w.origin.Committed() < stored {
			t.Fatalf("30 s after all is well %d are kept of %d: %+v", w.origin.Committed(), stored, w.origin.Holders())
		}
	})
}

// A holder that falls silent holds nothing up for longer than it takes to notice; no other one is taken for it twice.
func TestSlowHolder(t *testing.T) {
	w := newTape(6, 2)
	for range 20 {
		w.step(10*time.Millisecond, true)
	}
	silent := w.origin.WantedConnections()[0]
	w.cut[silent] = true // nobody knows
	first, out := w.origin.Append(w.now, 1, []byte{1}, true)
	w.send(out)
	began := w.now
	for w.origin.Committed() <= first && w.now < began+time.Second {
		w.step(5*time.Millisecond, true)
	}
	if took := w.now - began; took > 100*time.Millisecond {
		t.Errorf("a record was kept after %v, behind %s: %+v", took, silent, w.origin.Holders())
	}
	if n := len(w.origin.WantedConnections()); n != 3 {
		t.Errorf("%d holders", n)
	}
	if s := w.origin.StalledFor(w.now); s > 0 {
		t.Errorf("stalled for %v", s)
	}
}
