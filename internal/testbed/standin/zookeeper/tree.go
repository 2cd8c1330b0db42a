package zookeeper

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"time"
)

// Error codes and flags of creation as on the wire.
const (
	ok                      = 0
	unknownOp               = -6
	badArgs                 = -8
	noNode                  = -101
	badVersion              = -103
	noChildrenForEphemerals = -108
	nodeExists              = -110
	notEmpty                = -111
	sessionExpired          = -112
	authFailed              = -115
	flagEphemeral           = 1
	flagSequential          = 2
)

// Kinds of watch events as on the wire.
const (
	created  = 1
	deleted  = 2
	changed  = 3
	children = 4
)

// node is a node of the tree. Numbers of the protocol's stat record have their names there. owner is the session of an ephemeral
// node, 0 for other nodes; counter is the number of children created so far.
type node struct {
	data     []byte
	children map[string]bool
	czxid    int64
	mzxid    int64
	pzxid    int64
	ctime    int64
	mtime    int64
	owner    int64
	version  int32
	cversion int32
	counter  int32
}

// change is a committed change of the tree.
type change struct {
	zxid  int64
	at    time.Time
	op    int
	path  string
	data  []byte
	owner int64
}

// tree is the state of one server, or the committed state.
type tree struct {
	nodes map[string]*node
	zxid  int64
}

func newTree() *tree { return &tree{nodes: map[string]*node{"/": {children: map[string]bool{}}}} }

// event is a watch event.
type event struct {
	kind int32
	path string
}

func isValidPath(p string) bool {
	return strings.HasPrefix(p, "/") && path.Clean(p) == p && len(p) < 1024
}

func parent(p string) string { return path.Dir(p) }

// apply applies a committed change and returns its watch events.
func (t *tree) apply(c change) []event {
	t.zxid = c.zxid
	ms := c.at.UnixMilli()
	switch c.op {
	case created:
		p := t.nodes[parent(c.path)]
		if p == nil {
			return nil
		}
		p.children[path.Base(c.path)] = true
		p.cversion, p.pzxid, p.counter = p.cversion+1, c.zxid, p.counter+1
		t.nodes[c.path] = &node{data: c.data, children: map[string]bool{}, czxid: c.zxid, mzxid: c.zxid, pzxid: c.zxid, ctime: ms, mtime: ms, owner: c.owner}
		return []event{{created, c.path}, {children, parent(c.path)}}
	case deleted:
		if t.nodes[c.path] == nil {
			return nil
		}
		delete(t.nodes, c.path)
		if p := t.nodes[parent(c.path)]; p != nil {
			delete(p.children, path.Base(c.path))
			p.cversion, p.pzxid = p.cversion+1, c.zxid
		}
		return []event{{deleted, c.path}, {children, parent(c.path)}}
	case changed:
		n := t.nodes[c.path]
		if n == nil {
			return nil
		}
		n.data, n.mzxid, n.mtime, n.version = c.data, c.zxid, ms, n.version+1
		return []event{{changed, c.path}}
	}
	return nil
}

func join(p, name string) string { return path.Join(p, name) }

func (t *tree) childNames(p string) []string {
	if n := t.nodes[p]; n != nil {
		return slices.Sorted(maps.Keys(n.children))
	}
	return nil
}

// sequenced returns the path of the next sequential node with a prefix.
func (t *tree) sequenced(p string) string {
	n := int32(0)
	if parentNode := t.nodes[parent(p)]; parentNode != nil {
		n = parentNode.counter
	}
	return fmt.Sprintf("%s%010d", p, n)
}
