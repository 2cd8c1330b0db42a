package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// brokenFault is the fault of a brokenNode.
type brokenFault string

// Faults of a brokenNode.
const (
	hasNoFault        brokenFault = "no fault"
	isSilent          brokenFault = "reads requests and does not answer"
	cutsAnswers       brokenFault = "truncates answers"
	cutsLastAnswers   brokenFault = "truncates answers to requests followed by pipelined ones"
	closesUnannounced brokenFault = "closes connections after answers without announcing it"
	forwardsTwice     brokenFault = "forwards each request twice"
	forwardsLate      brokenFault = "forwards requests again after the answer"
	ignoresStop       brokenFault = "ignores SIGTERM"
	failsAtStop       brokenFault = "exits with a nonzero code"
	panicsAtStop      brokenFault = "panics after SIGTERM"
	writesNoJournal   brokenFault = "writes no journal"
)

// brokenRules maps each fault to the rule that it violates; "": none.
var brokenRules = map[brokenFault]Rule{
	hasNoFault:        "",
	isSilent:          Answered,
	cutsAnswers:       Answered,
	cutsLastAnswers:   LastAnswerComplete,
	closesUnannounced: CloseAnnounced,
	forwardsTwice:     RunsOnce,
	forwardsLate:      NothingAfter,
	ignoresStop:       ExitsInTime,
	failsAtStop:       ExitsCleanly,
	panicsAtStop:      ExitsCleanly,
	writesNoJournal:   JournalComplete,
}

// brokenNode is a minimal node with one fault. It forwards each request to one server, and closes idle connections only when it exits.
type brokenNode struct {
	fault      brokenFault
	server     string // address of the server
	isDraining atomic.Bool
	clients    sync.WaitGroup
}

// lateDelay is the time after which forwardsLate forwards a request again. It must be shorter than the load before the stop, otherwise no
// request arrives at a server after its final answer.
const lateDelay = sendSlack + 50*time.Millisecond

// runBrokenNode runs a brokenNode with a node's configuration and returns its exit code.
func runBrokenNode(path string, fault brokenFault) int {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	var config struct {
		Listen string
		Known  struct{ Members []struct{ HostPort string } }
	}
	text, err := os.ReadFile(path)
	if err != nil || json.Unmarshal([]byte(strings.ReplaceAll(string(text), "host_port", "HostPort")), &config) != nil {
		return 2
	}
	n := &brokenNode{fault: fault, server: config.Known.Members[0].HostPort}
	ln, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return 2
	}
	fastCGI, err := net.Listen("tcp", strings.Replace(config.Listen, fmt.Sprint(httpPort), fmt.Sprint(fastCGIPort), 1)) // only accepts connections
	if err != nil {
		return 2
	}
	defer fastCGI.Close()
	go n.accept(ln)
	<-stop
	n.isDraining.Store(true)
	time.Sleep(connectWindow + 100*time.Millisecond)
	ln.Close()
	switch fault {
	case ignoresStop:
		select {}
	case failsAtStop:
		return 3
	case panicsAtStop:
		fmt.Fprintln(os.Stderr, "panic on a client connection")
	}
	n.clients.Wait()
	return 0
}

func (n *brokenNode) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		n.clients.Go(func() { n.serve(c) })
	}
}

// serve processes the requests of a client's connection until an answer has announced the close.
func (n *brokenNode) serve(nc net.Conn) {
	defer nc.Close()
	c := http1.NewConn(nc)
	var req message.Request
	for count := 1; c.ReadRequest(&req) == nil; count++ {
		id := string(req.Get(message.RequestID))
		closes := n.isDraining.Load()
		n.forward(id)
		if n.fault == isSilent {
			c.WaitDisconnected()
			return
		}
		answer := http1.AppendAnswer(nil, message.Answer{Status: 200, Body: []byte(id), Close: closes})
		if n.fault == cutsAnswers || n.fault == cutsLastAnswers && c.HasMore() {
			nc.Write(answer[:len(answer)/2])
			return
		}
		nc.Write(answer)
		if closes || n.fault == closesUnannounced && count == 10 {
			return
		}
	}
}

// forward sends a request to the server, more than once if the fault requires it.
func (n *brokenNode) forward(id string) {
	n.forwardOnce(id)
	if n.fault == forwardsTwice {
		n.forwardOnce(id)
	}
	if n.fault == forwardsLate && !n.isDraining.Load() {
		time.AfterFunc(lateDelay, func() { n.forwardOnce(id) })
	}
}

func (n *brokenNode) forwardOnce(id string) {
	nc, err := net.Dial("tcp", n.server)
	if err != nil {
		return
	}
	defer nc.Close()
	c := http1.NewConn(nc)
	c.SendRequest(requestMessage(id), time.Second, "127.0.0.1")
	c.ReceiveResponse(&message.Response{})
}
