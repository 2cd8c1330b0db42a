package scenario

import (
	"slices"
	"strconv"
	"strings"
)

// target says what a kind of fault names.
type target uint8

const (
	noTarget target = iota
	servers
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
	Name  string
	About string
	on    target
	lasts bool
	size  string // what Size means; "" where it is not read
	share string // what Share means beside a choice of servers or nodes
}

// FaultKinds are all that a file may ask for.
var FaultKinds = []FaultKind{
	{"slow", "boxes work Size times slower", servers, true, "times", ""},
	{"hang", "boxes take requests and neither work nor answer", servers, true, "", ""},
	{"pause", "the processes stop as a whole, connections too", servers, true, "", ""},
	{"crash", "the processes die and come back cold", servers, true, "", ""},
	{"cut-before", "connections break before the request is read", servers, true, "", "of requests"},
	{"cut-within", "connections break within the answer", servers, true, "", "of requests"},
	{"cut-after", "connections close right behind the answer", servers, true, "", "of requests"},
	{"refuse", "boxes turn requests away unbegun", servers, true, "", "of requests"},
	{"error", "boxes answer 500 after the work", servers, true, "", "of requests"},
	{"spoil", "answers come as noise, endless heads or wrong lengths", servers, true, "", "of requests"},
	{"cut-site", "a site's boxes and nodes hear nothing of the others", site, true, "", ""},
	{"lose-site", "a site's boxes vanish without a word and come back cold", site, true, "", ""},
	{"shrink", "traffic falls to Size and boxes drain until that share of them is left", noTarget, true, "share", ""},
	{"replace", "boxes drain one by one, and new ones come under new ids", servers, true, "", ""},
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

func (s *Scenario) checkFault(c checker, i int) {
	x, key := &s.Faults[i], "faults."+strconv.Itoa(i)
	k, ok := KindOf(x.Kind)
	if !ok {
		c.Wrong(key+".kind", "no fault %q; `testbed faults` lists them", x.Kind)
		return
	}
	if x.At < 0 || x.At >= s.Length {
		c.Wrong(key+".at", "at %s, but the scenario lasts %s", x.At.Std(), s.Length.Std())
	}
	if k.lasts && x.For <= 0 {
		c.Wrong(key+".for", "a fault %q must last for some time", x.Kind)
	}
	if x.Kind == "reload" && len(s.Operators) < 2 {
		c.Wrong(key, "a reload needs two operators' files at least")
	}
	if k.size != "" {
		c.within(key+".size", x.Size, 0.01, 10_000)
		if k.size == "share" && x.Size > 1 {
			c.Wrong(key+".size", "size is the share that remains, 1 at most")
		}
	}
	c.within(key+".share", x.Share, 0, 1)
	if k.share != "" && x.Share == 0 {
		c.Wrong(key+".share", "share %s must be above 0", k.share)
	}
	if x.When != "" {
		if !slices.Contains(Steps, x.When) || x.Nth < 1 || len(x.Nodes) == 0 {
			c.Wrong(key+".when", "when %q, nth %d, nodes %v: one of %s, from the first on, of a node that is named", x.When, x.Nth, x.Nodes, strings.Join(Steps, ", "))
		}
	}
	if s.Peers.Replicas == 0 && (k.on == links || k.on == siteLinks || x.When != "") {
		c.Wrong(key, "there are no links between nodes for a fault %q", x.Kind)
	}
	s.checkTarget(c, key, x, k)
}

// checkTarget reports whether there is what the fault names.
func (s *Scenario) checkTarget(c checker, key string, x *Fault, k FaultKind) {
	switch k.on {
	case servers:
		for _, name := range x.Servers {
			if !slices.Contains(s.ServerNames(), name) {
				c.Wrong(key+".boxes", "no box %q", name)
			}
		}
		if len(x.Servers) == 0 && x.Share == 0 && k.share == "" {
			c.Wrong(key, "the fault names neither boxes nor a share of them")
		}
	case nodes, anyNodes, links:
		for _, n := range x.Nodes {
			if n < 0 || n >= s.Nodes.Count {
				c.Wrong(key+".nodes", "no node %d", n)
			}
		}
		if len(x.Nodes) == 0 && x.Share == 0 && k.on != anyNodes {
			c.Wrong(key, "the fault names neither nodes nor a share of them")
		}
	case planners:
		for _, n := range x.Planners {
			if n < 0 || n >= s.Planners.Count {
				c.Wrong(key+".planners", "no planner %d", n)
			}
		}
		if s.Planners.Count == 0 {
			c.Wrong(key, "there are no planners for a fault %q", x.Kind)
		}
		if x.Half < 0 || x.Half > 1 {
			c.Wrong(key+".half", "half is %d: 0 or 1", x.Half)
		}
	case registry:
		if s.Registry.Addresses == 0 {
			c.Wrong(key, "there is no registry for a fault %q", x.Kind)
		}
	case site, siteLinks:
		if !slices.Contains(s.Sites, x.Site) {
			c.Wrong(key+".site", "no site %q", x.Site)
		}
	}
}
