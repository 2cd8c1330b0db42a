package scenario

import (
	"slices"
	"strconv"
	"strings"
)

// target is the part of the deployment that a kind of fault affects and can name.
type target uint8

const (
	noTarget target = iota
	servers
	nodes
	site
	planners
	registry
	anyNodes // the named nodes, or all
	links    // between nodes
	siteLinks
)

// FaultKind is a kind of fault that scenario files can specify.
type FaultKind struct {
	Name        string
	Description string
	target      target
	hasDuration bool
	sizeUnit    string // unit of Fault.Size; "": Size is not used
	share       string // set that Fault.Share is a share of; "": servers or nodes
}

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	{"slow", "boxes process requests Size times slower", servers, true, "times", ""},
	{"hang", "boxes accept requests, but neither process nor answer them", servers, true, "", ""},
	{"pause", "box processes pause, including their connections", servers, true, "", ""},
	{"crash", "box processes crash and restart cold", servers, true, "", ""},
	{"cut-before", "connections break before the box has read the request", servers, true, "", "of requests"},
	{"cut-within", "connections break during the answer", servers, true, "", "of requests"},
	{"cut-after", "connections close immediately after the answer", servers, true, "", "of requests"},
	{"refuse", "boxes reject requests before executing them", servers, true, "", "of requests"},
	{"error", "boxes answer with status 500 after processing", servers, true, "", "of requests"},
	{"spoil", "answers are random bytes, or have endless headers or wrong lengths", servers, true, "", "of requests"},
	{"late-copies", "boxes send answers a second time Size milliseconds later, unless the next request has arrived", servers, true, "milliseconds", "of requests"},
	{"late-refusals", "boxes send rejections a second time Size milliseconds later, unless the next request has arrived", servers, true, "milliseconds", "of requests"},
	{"cut-site", "links between a site and all others are cut", site, true, "", ""},
	{"lose-site", "a site's boxes crash without notification and restart cold", site, true, "", ""},
	{"shrink", "traffic falls to Size of its rate, and boxes drain until the same share of them remains", noTarget, true, "share", ""},
	{"replace", "boxes drain one after the other, and new boxes with new IDs replace them", servers, true, "", ""},
	{"discovery-down", "discovery is unreachable", noTarget, true, "", ""},
	{"discovery-move", "discovery moves to another address, and nodes receive SIGHUP", noTarget, false, "", ""},
	{"reload", "the next text of operators replaces the operator's file, and nodes receive SIGHUP, Size times a minute", noTarget, true, "times a minute", ""},
	{"kill-nodes", "nodes are killed and restart with an outdated endpoint list", nodes, true, "", ""},
	{"restart-nodes", "nodes shut down gracefully and are started again", nodes, false, "", ""},
	{"kill-planners", "planners are killed and restart without state", planners, true, "", ""},
	{"stop-planners", "planners are paused and resume with their state", planners, true, "", ""},
	{"cut-planners", "links between planners and half of the nodes are cut", planners, true, "", ""},
	{"slow-planners", "links between planners and nodes delay data by Size seconds", planners, true, "seconds", ""},
	{"slow-disk", "each write of the nodes' journals takes Size seconds", anyNodes, true, "seconds", ""},
	{"full-disk", "writes to the nodes' disks fail", anyNodes, true, "", ""},
	{"lose-machines", "nodes are killed and restart with empty disks", nodes, true, "", ""},
	{"old-disk", "nodes are killed and restart with a disk backup from Size seconds before", nodes, true, "seconds", ""},
	{"stop-nodes", "nodes are paused and resume with their state", nodes, true, "", ""},
	{"cut-links", "links between nodes and all others are cut", links, true, "", ""},
	{"cut-links-out", "links from nodes to all others are cut", links, true, "", ""},
	{"cut-links-in", "links from all others to nodes are cut", links, true, "", ""},
	{"split-site", "links between a site's nodes and those of other sites are cut", siteLinks, true, "", ""},
	{"late-links", "links between nodes and others delay data by Size seconds", links, true, "seconds", ""},
	{"narrow-links", "links between nodes and others are limited to Size kB a second", links, true, "kB a second", ""},
	{"garbled-links", "links between nodes and others corrupt a share of Size of the messages", links, true, "share", ""},
	{"lossy-links", "links between nodes and others lose, duplicate and reorder a share of Size of the datagrams each", links, true, "share", ""},
	{"losses", "machines are lost with their disks repeatedly, as many at the same time as there are replicas, each time when all entries are replicated; other nodes are partitioned, paused or have slow disks", noTarget, true, "", ""},
	{"losses-beyond", "one node and all replica holders of its journal are lost at the same time, one machine more than there are replicas", noTarget, true, "", ""},
	{"registry-flap", "registry sessions of a share of Size of the boxes end while the boxes run; the boxes register again when the fault ends", registry, true, "share", ""},
	{"registry-lag", "servers of the registry receive changes Size seconds late", registry, true, "seconds", ""},
	{"registry-slow-events", "watch events arrive Size seconds late", registry, true, "seconds", ""},
	{"registry-break", "connections to the registry break, and new ones are refused", registry, true, "", ""},
	{"registry-silent", "the registry accepts requests, but does not respond", registry, true, "", ""},
	{"registry-garbled", "the registry corrupts a share of Size of its responses", registry, true, "share", ""},
	{"registry-records", "the registry contains huge, empty and malformed records beside those of the boxes", registry, true, "", ""},
	{"registry-late", "sessions expire Size seconds late", registry, true, "seconds", ""},
	{"hot-key", "one key receives a share of Share of the traffic", noTarget, true, "", "of traffic"},
	{"overload", "traffic rises to Size times its rate", noTarget, true, "times", ""},
	{"rude", "clients send malformed input, or nothing, to all nodes", noTarget, true, "connections a second", ""},
}

// KindOf returns the kind of fault with the given name.
func KindOf(name string) (FaultKind, bool) {
	for _, kind := range FaultKinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return FaultKind{}, false
}

// checkFault checks the fault with index i against the definition of its kind.
func (s *Scenario) checkFault(c checker, i int) {
	f := &s.Faults[i]
	key := "faults." + strconv.Itoa(i)
	kind, ok := KindOf(f.Kind)
	if !ok {
		c.AddFault(key+".kind", "unknown fault kind %q; `testbed faults` lists all kinds", f.Kind)
		return
	}
	if f.At < 0 || f.At >= s.Length {
		c.AddFault(key+".at", "fault starts at %s, but the scenario lasts %s", f.At.Std(), s.Length.Std())
	}
	if kind.hasDuration && f.For <= 0 {
		c.AddFault(key+".for", "fault %q needs a duration greater than 0", f.Kind)
	}
	if f.Kind == "reload" && len(s.Operators) < 2 {
		c.AddFault(key, "reload needs at least two operators")
	}
	if kind.sizeUnit != "" {
		c.inRange(key+".size", f.Size, 0.01, 10_000)
		if kind.sizeUnit == "share" && f.Size > 1 {
			c.AddFault(key+".size", "size exceeds 1, want a share from 0.01 to 1")
		}
	}
	c.inRange(key+".share", f.Share, 0, 1)
	if kind.share != "" && f.Share == 0 {
		c.AddFault(key+".share", "share %s must be greater than 0", kind.share)
	}
	if f.When != "" {
		if !slices.Contains(FrameKinds, f.When) || f.Nth < 1 || len(f.Nodes) == 0 {
			c.AddFault(key+".when", "invalid frame trigger (when %q, nth %d, nodes %v): want when one of %s, nth 1 or more, and at least one node", f.When, f.Nth, f.Nodes, strings.Join(FrameKinds, ", "))
		}
	}
	if s.Peers.Replicas == 0 && (kind.target == links || kind.target == siteLinks || f.When != "") {
		c.AddFault(key, "fault %q needs links between nodes, but there are no replicas", f.Kind)
	}
	s.checkTarget(c, key, f, kind)
}

// checkTarget checks that the targets of a fault exist in the deployment.
func (s *Scenario) checkTarget(c checker, key string, f *Fault, kind FaultKind) {
	switch kind.target {
	case servers:
		for _, name := range f.Servers {
			if !slices.Contains(s.ServerNames(), name) {
				c.AddFault(key+".boxes", "unknown box %q", name)
			}
		}
		if len(f.Servers) == 0 && f.Share == 0 && kind.share == "" {
			c.AddFault(key, "fault specifies neither boxes nor share")
		}
	case nodes, anyNodes, links:
		for _, n := range f.Nodes {
			if n < 0 || n >= s.Nodes.Count {
				c.AddFault(key+".nodes", "unknown node %d", n)
			}
		}
		if len(f.Nodes) == 0 && f.Share == 0 && kind.target != anyNodes {
			c.AddFault(key, "fault specifies neither nodes nor share")
		}
	case planners:
		for _, n := range f.Planners {
			if n < 0 || n >= s.Planners.Count {
				c.AddFault(key+".planners", "unknown planner %d", n)
			}
		}
		if s.Planners.Count == 0 {
			c.AddFault(key, "fault %q needs planners, but there are none", f.Kind)
		}
		if f.Half < 0 || f.Half > 1 {
			c.AddFault(key+".half", "half is %d, want 0 or 1", f.Half)
		}
	case registry:
		if s.Registry.Addresses == 0 {
			c.AddFault(key, "fault %q needs a registry, but there is none", f.Kind)
		}
	case site, siteLinks:
		if !slices.Contains(s.Sites, f.Site) {
			c.AddFault(key+".site", "unknown site %q", f.Site)
		}
	}
}
