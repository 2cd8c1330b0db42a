package scenario

import (
	"slices"
	"strconv"
	"strings"
)

// target is what a kind of fault concerns and may name.
type target uint8

const (
	noTarget target = iota
	servers
	nodes
	site
	planners
	registry
	anyNodes // those that are named, or all
	links    // between nodes
	siteLinks
)

// FaultKind is a kind of fault that scenarios may ask for.
type FaultKind struct {
	Name        string
	Description string
	target      target
	hasDuration bool
	sizeUnit    string // unit of Fault.Size; "": not used
	share       string // what Fault.Share is a share of, if not of servers or nodes
}

// FaultKinds lists all kinds.
var FaultKinds = []FaultKind{
	{"slow", "boxes work Size times slower", servers, true, "times", ""},
	{"hang", "boxes take requests and neither work nor answer", servers, true, "", ""},
	{"pause", "the processes stop as a whole, connections too", servers, true, "", ""},
	{"crash", "the processes crash and restart cold", servers, true, "", ""},
	{"cut-before", "connections break before the request is read", servers, true, "", "of requests"},
	{"cut-within", "connections break within the answer", servers, true, "", "of requests"},
	{"cut-after", "connections close right behind the answer", servers, true, "", "of requests"},
	{"refuse", "boxes reject requests before executing them", servers, true, "", "of requests"},
	{"error", "boxes answer 500 after the work", servers, true, "", "of requests"},
	{"spoil", "answers come as noise, endless heads or wrong lengths", servers, true, "", "of requests"},
	{"cut-site", "links between a site and all others are cut", site, true, "", ""},
	{"lose-site", "a site's boxes crash without notification and restart cold", site, true, "", ""},
	{"shrink", "traffic falls to Size and boxes drain until that share of them is left", noTarget, true, "share", ""},
	{"replace", "boxes drain one by one, and new ones come under new ids", servers, true, "", ""},
	{"discovery-down", "discovery is unreachable", noTarget, true, "", ""},
	{"discovery-move", "discovery moves, and nodes get SIGHUP", noTarget, false, "", ""},
	{"reload", "the operator's file is replaced by the next of operators, and nodes get SIGHUP, Size times a minute", noTarget, true, "times a minute", ""},
	{"kill-nodes", "nodes are killed and restart with an old list", nodes, true, "", ""},
	{"restart-nodes", "nodes are told to stop and started again", nodes, false, "", ""},
	{"kill-planners", "planners are killed and restart without state", planners, true, "", ""},
	{"stop-planners", "planners are paused and resume with their state", planners, true, "", ""},
	{"cut-planners", "links between planners and half of the nodes are cut", planners, true, "", ""},
	{"slow-planners", "links between planners and nodes delay by Size seconds", planners, true, "seconds", ""},
	{"slow-disk", "each write of the nodes' journals takes Size seconds", anyNodes, true, "seconds", ""},
	{"full-disk", "writes to the nodes' disks fail", anyNodes, true, "", ""},
	{"lose-machines", "nodes are killed and restart with empty disks", nodes, true, "", ""},
	{"old-disk", "nodes are killed and restart with their disks of Size seconds ago", nodes, true, "seconds", ""},
	{"stop-nodes", "nodes are paused and resume with their state", nodes, true, "", ""},
	{"cut-links", "links between nodes and all others are cut", links, true, "", ""},
	{"cut-links-out", "links from nodes to all others are cut", links, true, "", ""},
	{"cut-links-in", "links from all others to nodes are cut", links, true, "", ""},
	{"split-site", "links between a site's nodes and those of other sites are cut", siteLinks, true, "", ""},
	{"late-links", "links between nodes and others delay by Size seconds", links, true, "seconds", ""},
	{"narrow-links", "links between nodes and others are limited to Size kB a second", links, true, "kB a second", ""},
	{"garbled-links", "links between nodes and others corrupt a share of Size of the messages", links, true, "share", ""},
	{"lossy-links", "of datagrams between nodes and others a share of Size each is lost, duplicated and reordered", links, true, "share", ""},
	{"losses", "machines are lost with their disks again and again, as many at once as there are replicas, among cuts, pauses and slow disks, each time when all is replicated", noTarget, true, "", ""},
	{"losses-beyond", "one machine more is lost at once than there are replicas: one node and all holders of its journal", noTarget, true, "", ""},
	{"registry-flap", "sessions of Size of the boxes end, and they register again after the fault's time, running throughout", registry, true, "share", ""},
	{"registry-lag", "the registry's addresses see changes Size seconds late", registry, true, "seconds", ""},
	{"registry-slow-events", "watch events come Size seconds late", registry, true, "seconds", ""},
	{"registry-break", "connections to the registry break, and are refused", registry, true, "", ""},
	{"registry-silent", "the registry takes requests and says nothing", registry, true, "", ""},
	{"registry-garbled", "of the registry's replies a share of Size cannot be read", registry, true, "share", ""},
	{"registry-records", "entries stand beside the boxes' that are huge, empty or no entries", registry, true, "", ""},
	{"registry-late", "sessions expire Size seconds late", registry, true, "seconds", ""},
	{"hot-key", "one key draws Share of the traffic", noTarget, true, "", "of traffic"},
	{"overload", "traffic rises to Size times its rate", noTarget, true, "times", ""},
	{"rude", "clients send malformed input, or nothing, to all nodes", noTarget, true, "connections a second", ""},
}

// KindOf returns the kind with a name.
func KindOf(name string) (FaultKind, bool) {
	for _, k := range FaultKinds {
		if k.Name == name {
			return k, true
		}
	}
	return FaultKind{}, false
}

// checkFault checks a fault by its kind.
func (s *Scenario) checkFault(c checker, i int) {
	f := &s.Faults[i]
	key := "faults." + strconv.Itoa(i)
	k, ok := KindOf(f.Kind)
	if !ok {
		c.Wrong(key+".kind", "no fault %q; `testbed faults` lists them", f.Kind)
		return
	}
	if f.At < 0 || f.At >= s.Length {
		c.Wrong(key+".at", "at %s, but the scenario lasts %s", f.At.Std(), s.Length.Std())
	}
	if k.hasDuration && f.For <= 0 {
		c.Wrong(key+".for", "a fault %q must last for some time", f.Kind)
	}
	if f.Kind == "reload" && len(s.Operators) < 2 {
		c.Wrong(key, "a reload needs two operators' files at least")
	}
	if k.sizeUnit != "" {
		c.inRange(key+".size", f.Size, 0.01, 10_000)
		if k.sizeUnit == "share" && f.Size > 1 {
			c.Wrong(key+".size", "size is the share that remains, 1 at most")
		}
	}
	c.inRange(key+".share", f.Share, 0, 1)
	if k.share != "" && f.Share == 0 {
		c.Wrong(key+".share", "share %s must be above 0", k.share)
	}
	if f.When != "" {
		if !slices.Contains(FrameKinds, f.When) || f.Nth < 1 || len(f.Nodes) == 0 {
			c.Wrong(key+".when", "when %q, nth %d, nodes %v: one of %s, from the first on, of a node that is named", f.When, f.Nth, f.Nodes, strings.Join(FrameKinds, ", "))
		}
	}
	if s.Peers.Replicas == 0 && (k.target == links || k.target == siteLinks || f.When != "") {
		c.Wrong(key, "there are no links between nodes for a fault %q", f.Kind)
	}
	s.checkTarget(c, key, f, k)
}

// checkTarget checks that the deployment has what the fault names.
func (s *Scenario) checkTarget(c checker, key string, f *Fault, k FaultKind) {
	switch k.target {
	case servers:
		for _, name := range f.Servers {
			if !slices.Contains(s.ServerNames(), name) {
				c.Wrong(key+".boxes", "no box %q", name)
			}
		}
		if len(f.Servers) == 0 && f.Share == 0 && k.share == "" {
			c.Wrong(key, "the fault names neither boxes nor a share of them")
		}
	case nodes, anyNodes, links:
		for _, n := range f.Nodes {
			if n < 0 || n >= s.Nodes.Count {
				c.Wrong(key+".nodes", "no node %d", n)
			}
		}
		if len(f.Nodes) == 0 && f.Share == 0 && k.target != anyNodes {
			c.Wrong(key, "the fault names neither nodes nor a share of them")
		}
	case planners:
		for _, n := range f.Planners {
			if n < 0 || n >= s.Planners.Count {
				c.Wrong(key+".planners", "no planner %d", n)
			}
		}
		if s.Planners.Count == 0 {
			c.Wrong(key, "there are no planners for a fault %q", f.Kind)
		}
		if f.Half < 0 || f.Half > 1 {
			c.Wrong(key+".half", "half is %d: 0 or 1", f.Half)
		}
	case registry:
		if s.Registry.Addresses == 0 {
			c.Wrong(key, "there is no registry for a fault %q", f.Kind)
		}
	case site, siteLinks:
		if !slices.Contains(s.Sites, f.Site) {
			c.Wrong(key+".site", "no site %q", f.Site)
		}
	}
}
