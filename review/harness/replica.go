package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Figures of the case.
const (
	tierNodes       = 3
	tierBoxes       = 4
	firstBookings   = 10
	laterBookings   = 5
	machineGoneFor  = 1050 * time.Millisecond // from its end to its start: nodes come back after 1 to 7.9 s
	untilSecondLoss = 15 * time.Second
	repairedAfter   = 10 * time.Second // a second loss that follows the end of all repair
)

// tier is a deployment whose nodes keep a journal of bindings that outlives the loss of one machine with its disk (replicas = 1).
type tier struct {
	lab     *lab
	nodes   []*node
	peers   []string // configuration files
	boxes   []*box
	clients []*client
	links   *links
}

// returnedHolder loses the machine of the node that holds the journal of node 0, and has it return with an empty disk after a second, while
// its old connections are silent. Later the machine of node 0 is lost with its disk, and returns too. Every booking that a box ran must be
// in the journal then.
func returnedHolder(l *lab) (broken bool, err error) {
	t, err := l.newTier()
	if err != nil {
		return false, err
	}
	for range firstBookings {
		t.clients[0].send(true)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // without bookings
	holder, err := t.holderOfNode0()
	if err != nil {
		return false, err
	}
	l.note("node %d holds the journal of node 0", holder)
	t.logStatus(0)
	if l.trouble == "1" {
		if err := t.loseMachine(holder, machineGoneFor); err != nil {
			return false, err
		}
	}
	time.Sleep(repairedAfter)
	for range laterBookings {
		t.clients[0].send(true)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(untilSecondLoss - repairedAfter)
	t.logStatus(0)
	l.note("answers of node 0: %s", t.clients[0].answers())
	if l.trouble != "0" {
		if err := t.loseMachine(0, 5*time.Second); err != nil {
			return false, err
		}
		time.Sleep(repairedAfter)
		t.logStatus(0)
	}
	return t.judgeJournal()
}

// newTier starts boxes, discovery, links and nodes.
func (l *lab) newTier() (*tier, error) {
	t := &tier{lab: l}
	d, err := l.newDiscovery(tierNodes)
	if err != nil {
		return nil, err
	}
	for i := range tierBoxes {
		b, err := l.newBox(fmt.Sprintf("s-%02d", i), i, tierNodes, 1.5)
		if err != nil {
			return nil, err
		}
		t.boxes = append(t.boxes, b)
		d.set(b, "SERVING")
	}
	if err := d.up(false); err != nil {
		return nil, err
	}
	var fronts, backs []string
	for i := range tierNodes {
		front, err := freeAddress(l.ip(30 + i))
		if err != nil {
			return nil, err
		}
		back, err := freeAddress(l.ip(40 + i))
		if err != nil {
			return nil, err
		}
		fronts, backs = append(fronts, front), append(backs, back)
	}
	if t.links, err = l.newLinks(fronts, backs); err != nil {
		return nil, err
	}
	for i := range tierNodes {
		if err := t.addNode(i, d, fronts, backs); err != nil {
			return nil, err
		}
	}
	for _, n := range t.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for _, n := range t.nodes {
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return t, nil
}

// addNode configures a node. Its files are below the folder of its machine, which is empty after a loss.
func (t *tier) addNode(i int, d *discovery, fronts, backs []string) error {
	l := t.lab
	listen, err := freeAddress(l.ip(10 + i))
	if err != nil {
		return err
	}
	name := fmt.Sprintf("n%d", i)
	journal, held := filepath.Join(l.dir, name, "journal"), filepath.Join(l.dir, name, "held")
	bindings, peers := filepath.Join(l.dir, name+"-bindings.toml"), filepath.Join(l.dir, name+"-peers.toml")
	var others []string
	for j, front := range fronts {
		if j != i {
			others = append(others, fmt.Sprintf("%q", front))
		}
	}
	files := map[string]string{
		bindings: fmt.Sprintf("dir = %q\npromise = \"machines\"\nwhen_failing = \"deny\"\nwait_most = \"200ms\"\n", journal),
		peers: fmt.Sprintf("listen = %q\nadvertise = %q\npeers = [%s]\ndeployment = \"hire-northeast\"\nsite = \"north\"\nmachine = \"m%d\"\nreplicas = 1\n"+
			"held = %q\nheld_bytes = 1000000000\nkeep_for = \"720h\"\nrepair_bytes = 8388608\nslow_after = \"50ms\"\nplaintext = true\n",
			backs[i], fronts[i], strings.Join(others, ", "), i, held),
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
	}
	known, _ := d.list(i, 0, true)
	config := map[string]any{"seed": fmt.Sprintf("%016x", 77+i), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": settings(tierNodes, i)}
	n, err := l.newNode(name, listen, d.addresses[i], config, "PROXY_BINDINGS="+bindings, "PROXY_PEERS="+peers)
	if err != nil {
		return err
	}
	t.nodes, t.peers, t.clients = append(t.nodes, n), append(t.peers, peers), append(t.clients, l.newClient(i, listen))
	return t.emptyDisk(i)
}

// emptyDisk leaves the node's machine with the empty folders that its configuration names.
func (t *tier) emptyDisk(i int) error {
	dir := t.nodes[i].dir
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	for _, sub := range []string{"tmp", "journal", "held"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return err
		}
	}
	return nil
}

// loseMachine has a node's machine vanish with its disk, and come back after a while under its name and addresses.
func (t *tier) loseMachine(i int, goneFor time.Duration) error {
	t.links.vanish(i)
	t.nodes[i].kill()
	lost := time.Now()
	if err := t.emptyDisk(i); err != nil {
		return err
	}
	time.Sleep(time.Until(lost.Add(goneFor)))
	t.links.back(i)
	if err := t.nodes[i].start(); err != nil {
		return err
	}
	return t.nodes[i].awaitReady()
}

// holderOfNode0 returns the node that stores a replica of node 0's journal.
func (t *tier) holderOfNode0() (int, error) {
	for i := range t.nodes {
		found, err := filepath.Glob(filepath.Join(t.nodes[i].dir, "held", "n0@*"))
		if err != nil {
			return 0, err
		}
		if len(found) > 0 {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no node holds the journal of node 0")
}

// logStatus writes to the record what the project's command says of the tier.
func (t *tier) logStatus(of int) {
	output, code := t.lab.command("replicas", "status", "--peers", t.peers[of])
	t.lab.note("replicas status, exit %d:\n%s", code, output)
}

// judgeJournal reports whether the journal lacks a booking that a box ran. It asks by the project's command, which asks all nodes.
func (t *tier) judgeJournal() (broken bool, err error) {
	ran, missing := 0, 0
	for _, b := range t.boxes {
		for _, a := range b.received() {
			if !a.isBook || !a.ran {
				continue
			}
			ran++
			output, code := t.lab.command("bindings", "--tier", "--peers", t.peers[2], "show", a.id)
			t.lab.log("bindings --tier show %s, exit %d: %s", a.id, code, strings.TrimSpace(output))
			isMissing := strings.Contains(output, "no journal entry") || strings.Contains(output, "not-sent")
			if !strings.Contains(output, fmt.Sprintf("%d nodes responded", tierNodes)) || code != 0 && !isMissing { // no answer is no proof
				return false, fmt.Errorf("the journal could not be asked: %s", output)
			}
			if isMissing {
				missing++
				t.lab.note("booking %s ran at %s, and the journal does not show it: %s", a.id, b.id, strings.TrimSpace(output))
			}
		}
	}
	t.lab.note("%d bookings ran, %d of them not shown by the journal", ran, missing)
	if ran < firstBookings {
		return false, fmt.Errorf("only %d bookings ran", ran)
	}
	return missing > 0, nil
}
