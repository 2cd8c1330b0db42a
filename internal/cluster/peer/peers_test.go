package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/certauthority"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// member is one node of a tier in this process.
type member struct {
	*Node
	cfg    *Config
	dir    string
	log    *wal.Log
	cancel func()
	done   chan error
}

func address(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// start has a node of a tier begin, on the folder of an earlier one or, with "", an empty one.
func start(t *testing.T, name, dir string, seeds ...string) *member {
	t.Helper()
	return startWith(t, name, dir, "", seeds...)
}

func (m *member) seed() string {
	if m == nil {
		return "127.0.0.1:1"
	}
	return m.cfg.Listen
}

// startWith settles entries of machines that are gone by a file of dockets.
func startWith(t *testing.T, name, dir, file string, seeds ...string) *member {
	t.Helper()
	if dir == "" {
		dir = t.TempDir()
	}
	for _, d := range []string{"held", "journal"} {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	cfg := &Config{Listen: "127.0.0.1:0", Peers: seeds, Deployment: "d", Machine: name, Replicas: 2, ReplicaDir: filepath.Join(dir, "held"), MaxReplicaBytes: 1 << 30,
		RepairBytesPerSecond: 64 << 20, SlowAfter: tomlfile.Duration(100 * time.Millisecond), RetentionAge: tomlfile.Duration(time.Hour), Plaintext: true}
	cfg.Listen = address(t)
	cfg.Advertise = cfg.Listen
	if file != "" {
		cfg.ExecutionRecords = []string{file}
	}
	p, err := New(cfg, name, nil, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Node: p, cfg: cfg, dir: dir, cancel: cancel, done: make(chan error, 1)}
	go func() { m.done <- p.Run(ctx) }()
	up := p.Join(ctx, 2*time.Second)
	p.StartJournal(filepath.Join(dir, "journal"), true)
	m.log, err = wal.Open(wal.Options{Dir: filepath.Join(dir, "journal"), FileSystem: wal.OSFileSystem{}, Fsync: true, MaxSegmentBytes: 64 << 10, Incarnation: uint64(up), OnChunk: p.ReplicateChunk, OnStored: p.RecordsStored})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.die)
	return m
}

// die ends a node without a word.
func (m *member) die() {
	if m.cancel != nil {
		m.cancel()
		<-m.done
		m.log.Close()
		m.cancel = nil
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for by := time.Now().Add(30 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// keep has a booking's intent kept, and returns when it lasts.
func (m *member) keep(t *testing.T, op uint64) {
	t.Helper()
	eventually(t, "an intent is kept", func() bool {
		w, err := m.log.Append(true, intent.Record{Kind: intent.Intent, Incarnation: uint64(m.self().Incarnation), RequestNumber: op, AtUnixNano: time.Now().UnixNano(), RequestID: fmt.Sprint(m.name, "-", op), Type: "book", Server: "s"})
		if err != nil {
			t.Fatal(err)
		}
		<-w.Done()
		k := m.CommitOf(w.SequenceNumber())
		select {
		case <-k.Done():
			return k.Err() == nil
		case <-time.After(time.Second):
			return false
		}
	})
}

// found are the ids that the nodes of a tier tell, and whether what they tell is all.
func found(t *testing.T, cfg *Config) (ids map[string]bool, enough bool) {
	t.Helper()
	client := Query(context.Background(), cfg, false)
	ids = map[string]bool{}
	if _, err := client.Records(context.Background(), time.Time{}, "", func(r *intent.Record) error {
		if r.RequestID != "" {
			ids[r.RequestID] = true
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return ids, client.HasEnoughAnswers()
}

// A machine is lost with its disk, then another; what they kept is found in what is left, and is soon held often enough.
func TestMachinesLost(t *testing.T) {
	t.Parallel()
	tier := []*member{start(t, "n0", "")}
	for i := 1; i < 5; i++ {
		tier = append(tier, start(t, fmt.Sprint("n", i), "", tier[0].cfg.Listen, tier[i-1].cfg.Listen))
	}
	want := map[string]bool{}
	for op := range uint64(3) {
		for _, m := range tier {
			m.keep(t, op)
			want[fmt.Sprint(m.name, "-", op)] = true
		}
	}
	whole := func(of *member, nodes, streams int) func() bool {
		return func() bool {
			c := Query(context.Background(), of.cfg, false)
			n := 0
			for _, copies := range c.CopyCounts() {
				if copies >= 3 {
					n++
				}
			}
			return len(c.Answered) == nodes && n >= streams
		}
	}
	eventually(t, "all streams stand on three machines", whole(tier[0], 5, 5))
	ask := func(at *member, missing int) {
		t.Helper()
		ids, enough := found(t, at.cfg)
		for id := range want {
			if !ids[id] {
				t.Errorf("%s is not found with %d nodes lost", id, missing)
			}
		}
		if enough != (missing <= 2) {
			t.Errorf("%d nodes are missing: enough is %v", missing, enough)
		}
	}
	ask(tier[0], 0)
	tier[3].die()
	tier[4].die()
	ask(tier[0], 2)
	eventually(t, "their streams stand on three machines again", whole(tier[0], 3, 5))
	tier[0].die() // a third one, after all was right again
	ids, enough := found(t, tier[1].cfg)
	if len(ids) != len(want) || enough {
		t.Errorf("%d of %d are found at two of five nodes; enough is %v", len(ids), len(want), enough)
	}
	// One returns with its disk, another without: all is right again, and nothing comes twice.
	back := start(t, "n3", tier[3].dir, tier[1].cfg.Listen)
	start(t, "n4", "", tier[1].cfg.Listen)
	back.keep(t, 9)
	want["n3-9"] = true
	eventually(t, "all streams stand on three machines in the end", whole(tier[1], 4, 6))
	if ids, _ := found(t, tier[2].cfg); len(ids) != len(want) {
		t.Errorf("%d of %d are found", len(ids), len(want))
	}
}

// A replica, or the journal that it is of, is damaged on its disk: reading it again finds that out, and a whole one takes
// its place.
func TestDamaged(t *testing.T) {
	t.Parallel()
	for name, dir := range map[string]func(tier []*member) (*member, string){
		"a replica": func(tier []*member) (*member, string) {
			return tier[1], tier[1].store.StreamDir(tier[0].origin.Stream())
		},
		"a running journal": func(tier []*member) (*member, string) { return tier[0], tier[0].journal },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tier := []*member{start(t, "n0", "")}
			for i := 1; i < 3; i++ {
				tier = append(tier, start(t, fmt.Sprint("n", i), "", tier[0].cfg.Listen))
			}
			for op := range uint64(8) {
				tier[0].keep(t, op)
			}
			stream := tier[0].origin.Stream()
			at, path := dir(tier)
			segments, err := wal.ListSegments(wal.OSFileSystem{}, path)
			if err != nil || len(segments) == 0 {
				t.Fatal(segments, err)
			}
			text, _ := os.ReadFile(segments[0].Path)
			for _, i := range []int{len(text) / 3, len(text) / 2} { // between the first and the last
				text[i] ^= 0x55
			}
			if err := os.WriteFile(segments[0].Path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			c := Query(context.Background(), tier[0].cfg, true)
			if s := c.Answered[at.name]; s == nil || len(s.Damage) == 0 {
				t.Fatalf("the damage was not found: %+v", c.Answered)
			}
			eventually(t, "the stream stands whole on three machines again", func() bool {
				whole := 0
				for _, m := range tier {
					var found replication.Ranges
					m.read(stream, func(p wal.Chunk) error {
						found = found.With(p.First, p.First+uint64(p.Count))
						return nil
					})
					if found.Contains(1, 9) {
						whole++
					}
				}
				return whole == 3
			})
		})
	}
}

// A machine is gone for good: what it left open is settled by the servers' dockets, by one node; when that one dies as
// well, another settles what dockets tell only then, and nothing twice.
func TestAdopted(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "dockets.jsonl")
	tell := func(ids ...string) {
		text := fmt.Sprintf("{\"server\":\"s\",\"from\":%q,\"to\":%q}\n", time.Now().Add(-time.Hour).Format(time.RFC3339), time.Now().Add(-time.Minute).Format(time.RFC3339))
		for _, id := range ids {
			text += fmt.Sprintf("{\"id\":%q}\n", id)
		}
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		os.Rename(file+".new", file)
	}
	tell("n0-0")
	tier := map[string]*member{"n0": startWith(t, "n0", "", file)}
	for i := 1; i < 6; i++ {
		name := fmt.Sprint("n", i)
		tier[name] = startWith(t, name, "", file, tier["n0"].cfg.Listen, tier["n1"].seed())
	}
	tier["n0"].keep(t, 0)
	tier["n0"].keep(t, 1)
	any := func() *member {
		for _, name := range []string{"n1", "n2", "n3", "n4", "n5"} {
			if tier[name] != nil {
				return tier[name]
			}
		}
		return nil
	}
	tier["n0"].die()
	delete(tier, "n0")
	settlers := func() (by map[string]uint64) {
		by = map[string]uint64{}
		for _, s := range Query(context.Background(), any().cfg, false).Answered {
			for _, h := range s.StoredReplicas {
				if base, who, ok := strings.Cut(h.Name, "~"); ok && base == "n0" {
					by[who] = max(by[who], h.Ranges.Count())
				}
			}
		}
		return by
	}
	state := func(id string) (s intent.State) {
		union := intent.NewMerger()
		var all []*intent.Entry
		if _, err := Query(context.Background(), any().cfg, false).Records(context.Background(), time.Time{}, id, func(r *intent.Record) error {
			if e := union.Add(r); e != nil {
				all = append(all, e)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		for _, e := range append(all, union.Incomplete()...) {
			s = e.State()
		}
		return s
	}
	eventually(t, "what dockets tell is settled", func() bool { return state("n0-0") == intent.HasRun && state("n0-1") == intent.PossiblySent })
	by := settlers()
	if len(by) != 1 {
		t.Fatalf("settled by %v", by)
	}
	var first string
	for first = range by {
	}
	eventually(t, "the settlement is copied", func() bool {
		c := Query(context.Background(), any().cfg, false)
		return len(c.Answered) == 5 && c.Shortfall() == ""
	})
	tier[first].die()
	delete(tier, first)
	tell("n0-0", "n0-1")
	eventually(t, "the next one settles the rest", func() bool { return state("n0-1") == intent.HasRun })
	if by := settlers(); len(by) != 2 || by[first] != 1 {
		t.Errorf("settled by %v, at first by %s", by, first)
	}
	for who, n := range settlers() {
		if n != 1 {
			t.Errorf("%s has settled %d hops of two, one each", who, n)
		}
	}
}

// Two processes run under one name: the later one goes on, the earlier one is told. A clock that was set back between two
// starts changes nothing.
func TestTwoUnderOneName(t *testing.T) {
	t.Parallel()
	a := start(t, "n0", "")
	b := start(t, "n1", "", a.cfg.Listen)
	twin := start(t, "n1", "", a.cfg.Listen)
	select {
	case <-b.Replaced():
	case <-time.After(20 * time.Second):
		t.Fatal("the earlier one was not told")
	}
	select {
	case <-twin.Replaced():
		t.Error("the later one was told to stop")
	default:
	}
	twin.die()
	b.die()
	later := time.Now().Add(time.Hour).UnixNano()
	a.mu.Lock()
	a.table.MergeMembers(a.now(), "", []membership.Member{{Name: "n1", Incarnation: later, Condition: membership.Dead}})
	a.mu.Unlock()
	again := start(t, "n1", "", a.cfg.Listen)
	if up := again.self().Incarnation; up <= later {
		t.Errorf("it began a life at %d, behind one at %d", up, later)
	}
}

// Callers that are no nodes of the tier are refused, and harm nothing.
func TestStrangers(t *testing.T) {
	t.Parallel()
	a := start(t, "n0", "")
	hello, _ := protocol.Append(nil, framing.HelloKind, framing.Hello{Version: version, Name: "x"})
	old, _ := protocol.Append(nil, framing.HelloKind, framing.Hello{Version: version + 1, Name: "x"})
	other, _ := protocol.Append(slices.Clone(hello), introKind, intro{Deployment: "other", Member: membership.Member{Name: "x", Incarnation: 1}})
	node, _ := protocol.Append(slices.Clone(hello), introKind, intro{Deployment: "d", Member: membership.Member{Name: "x", Incarnation: 1}})
	beat, _ := protocol.Append(slices.Clone(hello), beatKind, membership.Heartbeat{})
	part, _ := protocol.Append(slices.Clone(node), batchKind, replication.Batch{Stream: replication.Stream{Name: "../x", Incarnation: 1}, First: 1, Count: 1, Frames: []byte("no part")})
	for name, c := range map[string]struct {
		sends []byte
		told  string
	}{
		"HTTP":                {[]byte("GET / HTTP/1.1\r\n\r\n"), ""},
		"another version":     {old, "version 1 is spoken here"},
		"another deployment":  {other, `this is deployment`},
		"a beat first":        {beat, "does not say who it is"},
		"a part that is none": {part, ""},
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", a.cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(10 * time.Second))
			nc.Write(c.sends)
			got, err := io.ReadAll(nc)
			if err != nil && !strings.Contains(err.Error(), "reset") || !strings.Contains(string(got), c.told) {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
	if entries, _ := os.ReadDir(a.cfg.ReplicaDir); len(entries) > 0 {
		t.Errorf("%v is held", entries)
	}
}

// A byte that a link changes is noticed, whichever it is: without a sum it could make a node believe that a later life of
// its own name is known, and stop (so it was in the lab, on links that garble one piece in twenty).
func TestGarbled(t *testing.T) {
	t.Parallel()
	whole, err := protocol.Append(nil, newsKind, &membership.Update{Members: []membership.Member{{Name: "n1", Incarnation: 1_800_000_000_000_000_000, Address: "127.0.0.1:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		b := slices.Clone(whole)
		b[i] ^= 0x10
		if k, body, err := protocol.Read(strings.NewReader(string(b)), nil); err == nil {
			t.Errorf("byte %d of kind %d was taken: %x", i, k, body)
		}
	}
}

// With keys, only who shows a certificate of the authority is a peer.
func TestKeys(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := func(name string, sign *certauthority.Authority, listen string, seeds ...string) *Config {
		own := filepath.Join(dir, name)
		os.MkdirAll(filepath.Join(own, "held"), 0o700)
		cert, key, ca, err := sign.Write(own, "tier", time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(own, "peers.toml")
		text := fmt.Sprintf("listen = %q\npeers = [%s]\ndeployment = \"d\"\nmachine = %q\nheld = %q\ntls_name = \"tier\"\ncert = %q\nkey = %q\nca = %q\n",
			listen, strings.Join(seeds, ","), name, filepath.Join(own, "held"), cert, key, ca)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := LoadConfig(path)
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	ours, err := certauthority.New("ours")
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := certauthority.New("theirs")
	if err != nil {
		t.Fatal(err)
	}
	at := address(t)
	run := func(cfg *Config, name string) *Node {
		p, err := New(cfg, name, nil, zerolog.New(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- p.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		p.StartJournal("", false)
		return p
	}
	a := run(file("a", ours, at), "a")
	b := run(file("b", ours, address(t), fmt.Sprintf("%q", at)), "b")
	run(file("c", theirs, address(t), fmt.Sprintf("%q", at)), "c")
	eventually(t, "two of one authority know each other", func() bool { return len(a.Status().Members) == 2 && len(b.Status().Members) == 2 })
	time.Sleep(3 * redialFirst) // the third has tried by now; what follows holds whenever it has
	if len(a.Status().Members) != 2 {
		t.Error("one of another authority was taken in")
	}
}

// Which journals stand past the loss of nodes: those that one who is left has whole, not some of.
func TestSurvives(t *testing.T) {
	now, before := replication.Stream{Name: "a", Incarnation: 2}, replication.Stream{Name: "a", Incarnation: 1}
	holding := func(s replication.Stream, to uint64) replication.StoredReplica {
		return replication.StoredReplica{Stream: s, Ranges: replication.Ranges{{From: 1, To: to}}}
	}
	level := replication.Holder{Name: "b", State: "level"}
	for name, c := range map[string]struct {
		holders []replication.Holder
		b, c    []replication.StoredReplica
		lost    []string
		want    bool
	}{
		"nothing is lost":                    {nil, nil, nil, nil, true},
		"another one":                        {nil, nil, nil, []string{"c"}, true},
		"held by one who is left":            {[]replication.Holder{level}, []replication.StoredReplica{holding(now, 9)}, nil, []string{"a"}, true},
		"with all holders":                   {[]replication.Holder{level}, []replication.StoredReplica{holding(now, 9)}, nil, []string{"a", "b"}, false},
		"a part is left":                     {[]replication.Holder{level}, []replication.StoredReplica{holding(now, 9)}, []replication.StoredReplica{holding(now, 3)}, []string{"a", "b"}, false},
		"one is left who still lacks some":   {[]replication.Holder{{Name: "b", State: "level", MissingRecords: 2}}, nil, nil, []string{"a"}, false},
		"one who was only offered it":        {[]replication.Holder{{Name: "b", State: "offered"}}, nil, nil, []string{"a"}, false},
		"an earlier life with its holder":    {nil, []replication.StoredReplica{holding(before, 9)}, []replication.StoredReplica{holding(before, 3)}, []string{"b"}, false},
		"an earlier life that another has":   {nil, []replication.StoredReplica{holding(before, 9)}, []replication.StoredReplica{holding(before, 9)}, []string{"b"}, true},
		"nobody knows who holds its journal": {nil, nil, nil, []string{"unasked"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			asked := map[string]*Status{"a": {Stream: now, Holders: c.holders}, "b": {StoredReplicas: c.b}, "c": {StoredReplicas: c.c}}
			of := "a"
			if slices.Contains(c.lost, "unasked") {
				of = "unasked"
			}
			if got := (&Client{Answered: asked}).SurvivesLoss(of, c.lost); got != c.want {
				t.Errorf("survives %v", got)
			}
		})
	}
}

func FuzzFrames(f *testing.F) {
	for _, w := range []any{&membership.Update{Members: []membership.Member{{Name: "a", Incarnation: 1}}}, &replication.Offer{Ranges: replication.Ranges{{From: 1, To: 2}}}, &replication.Inventory{}, &replication.Ack{}, &membership.LivenessReply{}} {
		b, _ := protocol.Append(nil, kindOf(w), w)
		f.Add(b[4], b[5:len(b)-4]) // the kind, and the body without its length and sum
	}
	f.Fuzz(func(t *testing.T, k byte, body []byte) {
		what, err := read(framing.Kind(k), body)
		if err != nil {
			return
		}
		table, keeper := membership.New(membership.Member{Name: "n", Incarnation: 1}), replication.NewReplicaTable(replication.Candidate{Name: "n"}, 2, 1<<20, 0)
		origin := replication.NewOrigin(0, replication.Stream{Name: "n", Incarnation: 1}, replication.Candidate{Name: "n"}, 1, time.Millisecond)
		origin.SetCandidates(0, []replication.Candidate{{Name: "a", Machine: "a", IsHealthy: true}})
		origin.Connected(0, "a")
		table.Connected(time.Second, "a")
		switch w := what.(type) {
		case *replication.Offer:
			keeper.HandleOffer(time.Second, "a", w)
		case *replication.Batch:
			wal.DecodeChunks(w.Frames)
			keeper.AdmitBatch("a", w, 0, 0)
		default:
			table.HandleMessage(time.Second, "a", w)
			keeper.HandleMessage(time.Second, "a", w)
			origin.HandleMessage(time.Second, "a", w)
		}
		table.Tick(2 * time.Second)
		keeper.Tick(2 * time.Second)
		origin.Tick(2 * time.Second)
		origin.Append(2*time.Second, 1, []byte{1}, true)
	})
}
