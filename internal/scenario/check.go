package scenario

import (
	"embed"
	"fmt"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fernvane/internal/tomlfile"
)

//go:embed embedded/*.toml
var embedded embed.FS

const (
	sharesSlack = 0.001 // by which shares may miss 1 when they are added up
	mostBoxes   = 2000
	mostNodes   = 1000
	mostPlanner = 8
	mostLength  = 10 * time.Minute
	mostRate    = 100_000
)

// target says what a kind of fault names.
type target uint8

const (
	noTarget target = iota
	boxes
	nodes
	site
	planners
	registry
	anyNodes // those named, or all
	links    // of nodes, to others
	siteLinks
)

// FaultKind is one kind of trouble.
type FaultKind struct {
	Name, About string
	on          target
	lasts       bool
	size        string // what Size means; "" where it is not read
	share       string // what Share means beside a choice of boxes or nodes
}

// FaultKinds are all that a file may ask for.
var FaultKinds = []FaultKind{
	{"slow", "boxes work Size times slower", boxes, true, "times", ""},
	{"hang", "boxes take requests and neither work nor answer", boxes, true, "", ""},
	{"pause", "the processes stop as a whole, connections too", boxes, true, "", ""},
	{"crash", "the processes die and come back cold", boxes, true, "", ""},
	{"cut-before", "connections break before the request is read", boxes, true, "", "of requests"},
	{"cut-within", "connections break within the answer", boxes, true, "", "of requests"},
	{"cut-after", "connections close right behind the answer", boxes, true, "", "of requests"},
	{"refuse", "boxes turn requests away unbegun", boxes, true, "", "of requests"},
	{"error", "boxes answer 500 after the work", boxes, true, "", "of requests"},
	{"spoil", "answers come as noise, endless heads or wrong lengths", boxes, true, "", "of requests"},
	{"cut-site", "a site's boxes and nodes hear nothing of the others", site, true, "", ""},
	{"lose-site", "a site's boxes vanish without a word and come back cold", site, true, "", ""},
	{"shrink", "traffic falls to Size and boxes drain until that share of them is left", noTarget, true, "share", ""},
	{"replace", "boxes drain one by one, and new ones come under new ids", boxes, true, "", ""},
	{"discovery-down", "discovery is out of reach", noTarget, true, "", ""},
	{"discovery-move", "discovery moves, and nodes get SIGHUP", noTarget, false, "", ""},
	{"reload", "the operator's file is replaced by the next of operators, and nodes get SIGHUP, Size times a minute", noTarget, true, "times a minute", ""},
	{"kill-nodes", "nodes are killed outright and come back with an old list", nodes, true, "", ""},
	{"restart-nodes", "nodes are told to stop and started again", nodes, false, "", ""},
	{"kill-planners", "planners are killed outright and come back knowing nothing", planners, true, "", ""},
	{"stop-planners", "planners stand still, and go on with what they knew", planners, true, "", ""},
	{"cut-planners", "planners and half of the nodes hear nothing of each other", planners, true, "", ""},
	{"slow-planners", "what planners and nodes tell each other comes Size seconds late", planners, true, "seconds", ""},
	{"slow-disk", "each write of the nodes' journals takes Size seconds", anyNodes, true, "seconds", ""},
	{"full-disk", "the nodes' disks take nothing", anyNodes, true, "", ""},
	{"lose-machines", "nodes are killed and their disks are gone; they come back with empty ones", nodes, true, "", ""},
	{"old-disk", "nodes are killed and come back with their disks of Size seconds ago", nodes, true, "seconds", ""},
	{"stop-nodes", "nodes stand still, and go on with what they knew", nodes, true, "", ""},
	{"cut-links", "nodes and all others hear nothing of each other", links, true, "", ""},
	{"cut-links-out", "the others hear nothing of nodes, which hear them", links, true, "", ""},
	{"cut-links-in", "nodes hear nothing of the others, which hear them", links, true, "", ""},
	{"split-site", "a site's nodes and those of the others hear nothing of each other", siteLinks, true, "", ""},
	{"late-links", "what passes between nodes and others comes Size seconds late", links, true, "seconds", ""},
	{"narrow-links", "between nodes and others Size kB a second pass", links, true, "kB a second", ""},
	{"garbled-links", "of what passes between nodes and others a share of Size comes as something else", links, true, "share", ""},
	{"lossy-links", "of datagrams between nodes and others a share of Size is lost, another comes twice, another late", links, true, "share", ""},
	{"losses", "machines are lost with their disks again and again, as many at once as there are replicas, among cuts, pauses and slow disks, each time when all is whole", noTarget, true, "", ""},
	{"losses-beyond", "one machine more is lost at once than there are replicas: one node and all that hold its journal", noTarget, true, "", ""},
	{"registry-flap", "sessions of Size of the boxes end, and they register anew after the fault's time, alive all along", registry, true, "share", ""},
	{"registry-lag", "the registry's addresses see changes Size seconds late", registry, true, "seconds", ""},
	{"registry-slow-events", "watch events come Size seconds late", registry, true, "seconds", ""},
	{"registry-break", "connections to the registry break, and are refused", registry, true, "", ""},
	{"registry-silent", "the registry takes requests and says nothing", registry, true, "", ""},
	{"registry-garbled", "of the registry's replies a share of Size cannot be read", registry, true, "share", ""},
	{"registry-records", "entries stand beside the boxes' that are huge, empty or no entries", registry, true, "", ""},
	{"registry-late", "sessions expire Size seconds late", registry, true, "seconds", ""},
	{"hot-key", "one key draws Share of the traffic", noTarget, true, "", "of traffic"},
	{"overload", "traffic rises to Size times its rate", noTarget, true, "times", ""},
	{"rude", "clients send what cannot be read, or nothing, to all nodes", noTarget, true, "connections a second", ""},
}

// KindOf finds a kind of fault.
func KindOf(name string) (FaultKind, bool) {
	for _, k := range FaultKinds {
		if k.Name == name {
			return k, true
		}
	}
	return FaultKind{}, false
}

// Names lists the scenarios that the program brings along.
func Names() []string {
	entries, _ := embedded.ReadDir("embedded")
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), ".toml")
	}
	return names
}

// Load reads a scenario: one of Names, or a file.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		text, err := embedded.ReadFile(path.Join("embedded", name+".toml"))
		if err != nil {
			return nil, err
		}
		return Parse(name+".toml", text)
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("no scenario %q: there are %s, and files", name, strings.Join(Names(), ", "))
	}
	text, err := tomlfile.Read(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads a scenario from a text, over the one that it names as its base.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	var b struct{ Base string }
	if toml.Unmarshal(text, &b) == nil && b.Base != "" {
		if !slices.Contains(Names(), b.Base) || b.Base+".toml" == name {
			return nil, tomlfile.Faults{{File: name, Line: 1, Why: fmt.Sprintf("no base %q: there are %s", b.Base, strings.Join(Names(), ", "))}}
		}
		base, err := Load(b.Base)
		if err != nil {
			return nil, err
		}
		s, s.Name, s.About, s.Faults = base, "", "", nil
	}
	f, err := tomlfile.Parse(name, text, s)
	if err != nil {
		return nil, err
	}
	return s, s.check(f)
}

// check fills in what a file leaves out and tells all that is wrong.
func (s *Scenario) check(f *tomlfile.File) error {
	s.fill()
	within := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			f.Wrong(key, "%s is %v: from %v to %v", key[strings.LastIndexByte(key, '.')+1:], v, least, most)
		}
	}
	oneOf := func(key, v string, of ...string) {
		if !slices.Contains(of, v) {
			f.Wrong(key, "%q is none of %s", v, strings.Join(of, ", "))
		}
	}
	positive := func(key string, d Span) {
		if d <= 0 {
			f.Wrong(key, "%s must be above 0", key[strings.LastIndexByte(key, '.')+1:])
		}
	}
	if s.Name == "" {
		f.Wrong("name", "the scenario has no name")
	}
	within("length", s.Length.D().Seconds(), 0.1, mostLength.Seconds())
	within("nodes.count", float64(s.Nodes.Count), 1, mostNodes)
	oneOf("journal.promise", s.Journal.Promise, "", "process", "machine", "machines")
	within("peers.replicas", float64(s.Peers.Replicas), 0, 6)
	oneOf("journal.when_failing", s.Journal.WhenFailing, "deny", "serve")
	oneOf("lists.start", s.Lists.Start, "known", "kept", "none")
	within("registry.addresses", float64(s.Registry.Addresses), 0, 5)
	within("planners.count", float64(s.Planners.Count), 0, mostPlanner)
	if n := len(s.Sites); n > s.Nodes.Count {
		f.Wrong("nodes.count", "%d sites, but %d nodes: the clients of each site need one", n, s.Nodes.Count)
	}
	within("load.rate", s.Load.Rate, 0.1, mostRate)
	within("load.swing", s.Load.Swing, 0, 0.95)
	within("load.skew", s.Load.Skew, 0, 0.9)
	within("load.over", s.Load.Over, 0, 1)
	oneOf("load.shape", s.Load.Shape, "constant", "poisson", "bursts", "ramp", "wave")
	within("clients.gives_up", s.Clients.GivesUp, 0.01, 1)
	within("clients.leaves", s.Clients.Leaves, 0, 1)
	within("clients.leaves_at", s.Clients.LeavesAt, 0.001, 1)
	within("clients.retries", float64(s.Clients.Retries), 0, 10)
	within("rules.most_hops", float64(s.Rules.MostHops), 1, 16)
	if len(s.Sites) == 0 || len(s.Sites) > 16 {
		f.Wrong("sites", "from 1 to 16 sites")
	}
	s.checkBoxes(f, within)
	shares := 0.0
	if len(s.Types) == 0 {
		f.Wrong("types", "no traffic types")
	}
	for i := range s.Types {
		t, key := &s.Types[i], "types."+strconv.Itoa(i)
		shares += t.Share
		within(key+".share", t.Share, 0, 1)
		positive(key+".work", t.Work)
		positive(key+".target", t.Target)
		if t.Abandon < t.Target {
			f.Wrong(key+".abandon", "clients of %s give up before its target time", t.Name)
		}
		oneOf(key+".dist", t.Dist, "constant", "exp", "lognormal")
		oneOf(key+".repeat", t.Repeat, "retriable", "fingerprinted", "binding")
		oneOf(key+".group", t.Group, "all", "zone", "cell")
		if slices.ContainsFunc(s.Types[:i], func(o Type) bool { return o.Name == t.Name }) {
			f.Wrong(key+".name", "a second type %q", t.Name)
		}
	}
	if len(s.Types) > 0 && math.Abs(shares-1) > sharesSlack {
		f.Wrong("types.0.share", "the shares of the types add up to %.3f, not 1", shares)
	}
	shares = 0
	for i, t := range s.Tenants {
		shares += t.Share
		within("tenants."+strconv.Itoa(i)+".share", t.Share, 0, 1)
	}
	if len(s.Tenants) > 0 && math.Abs(shares-1) > sharesSlack {
		f.Wrong("tenants.0.share", "the shares of the tenants add up to %.3f, not 1", shares)
	}
	for i := range s.Faults {
		s.checkFault(f, i, within)
	}
	return f.Err()
}

func (s *Scenario) checkBoxes(f *tomlfile.File, within func(string, float64, float64, float64)) {
	total := 0
	for i, b := range s.Boxes {
		key := "boxes." + strconv.Itoa(i)
		total += b.Count
		within(key+".count", float64(b.Count), 1, mostBoxes)
		within(key+".cores", float64(b.Cores), 1, 256)
		within(key+".speed", b.Speed, 0.01, 1000)
		within(key+".cold_share", b.ColdShare, 0.01, 1)
		within(key+".key_gain", b.KeyGain, 0, 0.95)
		within(key+".error_rate", b.ErrorRate, 0, 1)
		if b.PauseEvery > 0 && b.PauseFor >= b.PauseEvery {
			f.Wrong(key+".pause_for", "a pause of %s every %s leaves no time to work", b.PauseFor.D(), b.PauseEvery.D())
		}
		if b.Kind == "" || slices.ContainsFunc(s.Boxes[:i], func(o Boxes) bool { return o.Kind == b.Kind }) {
			f.Wrong(key+".kind", "each kind of boxes needs a name of its own")
		}
	}
	if len(s.Boxes) == 0 || total > mostBoxes {
		f.Wrong("boxes", "%d boxes: from 1 to %d", total, mostBoxes)
	}
}

func (s *Scenario) checkFault(f *tomlfile.File, i int, within func(string, float64, float64, float64)) {
	x, key := &s.Faults[i], "faults."+strconv.Itoa(i)
	k, ok := KindOf(x.Kind)
	if !ok {
		f.Wrong(key+".kind", "no fault %q; `fernlab faults` lists them", x.Kind)
		return
	}
	if x.At < 0 || x.At >= s.Length {
		f.Wrong(key+".at", "at %s, but the scenario lasts %s", x.At.D(), s.Length.D())
	}
	if k.lasts && x.For <= 0 {
		f.Wrong(key+".for", "a fault %q must last for some time", x.Kind)
	}
	if x.Kind == "reload" && len(s.Operators) < 2 {
		f.Wrong(key, "a reload needs two operators' files at least")
	}
	if k.size != "" {
		within(key+".size", x.Size, 0.01, 10_000)
		if k.size == "share" && x.Size > 1 {
			f.Wrong(key+".size", "size is the share that remains, 1 at most")
		}
	}
	within(key+".share", x.Share, 0, 1)
	if k.share != "" && x.Share == 0 {
		f.Wrong(key+".share", "share %s must be above 0", k.share)
	}
	if x.When != "" {
		if !slices.Contains(Steps, x.When) || x.Nth < 1 || len(x.Nodes) == 0 {
			f.Wrong(key+".when", "when %q, nth %d, nodes %v: one of %s, from the first on, of a node that is named", x.When, x.Nth, x.Nodes, strings.Join(Steps, ", "))
		}
	}
	if s.Peers.Replicas == 0 && (k.on == links || k.on == siteLinks || x.When != "") {
		f.Wrong(key, "there are no links between nodes for a fault %q", x.Kind)
	}
	switch k.on {
	case boxes:
		for _, name := range x.Boxes {
			if !slices.Contains(s.BoxNames(), name) {
				f.Wrong(key+".boxes", "no box %q", name)
			}
		}
		if len(x.Boxes) == 0 && x.Share == 0 && k.share == "" {
			f.Wrong(key, "the fault names neither boxes nor a share of them")
		}
	case nodes, anyNodes, links:
		for _, n := range x.Nodes {
			if n < 0 || n >= s.Nodes.Count {
				f.Wrong(key+".nodes", "no node %d", n)
			}
		}
		if len(x.Nodes) == 0 && x.Share == 0 && k.on != anyNodes {
			f.Wrong(key, "the fault names neither nodes nor a share of them")
		}
	case planners:
		for _, n := range x.Planners {
			if n < 0 || n >= s.Planners.Count {
				f.Wrong(key+".planners", "no planner %d", n)
			}
		}
		if s.Planners.Count == 0 {
			f.Wrong(key, "there are no planners for a fault %q", x.Kind)
		}
		if x.Half < 0 || x.Half > 1 {
			f.Wrong(key+".half", "half is %d: 0 or 1", x.Half)
		}
	case registry:
		if s.Registry.Addresses == 0 {
			f.Wrong(key, "there is no registry for a fault %q", x.Kind)
		}
	case site, siteLinks:
		if !slices.Contains(s.Sites, x.Site) {
			f.Wrong(key+".site", "no site %q", x.Site)
		}
	}
}

func or[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// fill sets what may be left out.
func (s *Scenario) fill() {
	or(&s.Nodes.Cores, 1)
	or(&s.Nodes.MemoryMB, 192)
	or(&s.Nodes.Sockets, 1024)
	or(&s.Nodes.Notice, Span(2*time.Second))
	or(&s.Registry.Session, Span(time.Second))
	or(&s.Journal.WhenFailing, "deny")
	or(&s.Lists.Start, "known")
	if s.Journal.Promise == "machines" {
		or(&s.Peers.Replicas, 2)
	}
	or(&s.Peers.SlowAfter, Span(50*time.Millisecond))
	or(&s.Peers.RepairBytes, 8<<20)
	or(&s.Journal.WaitMost, Span(200*time.Millisecond))
	or(&s.Planners.Every, Span(500*time.Millisecond))
	for i := range s.Boxes {
		b := &s.Boxes[i]
		or(&b.Cores, 1)
		or(&b.Speed, 1)
		or(&b.Queue, 300)
		or(&b.Connections, 700)
		or(&b.ColdShare, 0.4)
		or(&b.ColdFor, Span(6*time.Second))
		or(&b.Keys, 60)
	}
	for i := range s.Types {
		t := &s.Types[i]
		or(&t.Path, "/"+t.Name+"/"+t.Name)
		or(&t.Dist, "exp")
		or(&t.CV, 1)
		or(&t.Revenue, 1)
		or(&t.Repeat, "retriable")
		or(&t.Group, "all")
	}
	or(&s.Load.Shape, "poisson")
	or(&s.Load.Period, Span(2*time.Second))
	or(&s.Load.Zipf, 1)
	or(&s.Load.Over, 0.2)
	or(&s.Clients.GivesUp, 0.5)
	or(&s.Clients.LeavesAt, 0.05)
	or(&s.Clients.Backoff, Span(50*time.Millisecond))
	or(&s.Discovery.Notice, Span(time.Second))
	or(&s.Discovery.SilentNotice, Span(6*time.Second))
	or(&s.Discovery.Add, Span(time.Second))
	or(&s.Discovery.Spread, Span(100*time.Millisecond))
	or(&s.Discovery.LinesPerS, 5000)
	or(&s.Discovery.CallLines, 40)
	or(&s.Discovery.Timeout, Span(3*time.Second))
	or(&s.Rules.DrainGrace, Span(500*time.Millisecond))
	or(&s.Rules.FallMultiple, 2.5)
	or(&s.Rules.FallWindow, Span(2*time.Second))
	or(&s.Rules.MostHops, 4)
	or(&s.Rules.AskWithin, Span(5*time.Second))
	or(&s.Rules.Slack, Span(50*time.Millisecond))
}

// BoxNames are the names of all boxes of the start, kind by kind.
func (s *Scenario) BoxNames() []string {
	var names []string
	for _, b := range s.Boxes {
		for i := range b.Count {
			names = append(names, fmt.Sprintf("%s-%d", b.Kind, i))
		}
	}
	return names
}
