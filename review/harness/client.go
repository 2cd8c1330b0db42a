package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sites are those of hire-northeast. The boxes of a case stand in the first one unless it says otherwise.
var sites = []string{"scottsdale", "st-helens", "st-marys", "campbell-town"}

// settings returns the settings of a node, with the figures of the site hire-northeast.
func settings(nodes, me int) map[string]any {
	return map[string]any{
		"groupSize": nodes, "me": me, "zone": me % len(sites), "granularity": 4, "discovery": "on_request", "weights": "none", "overageRevenue": 0.2,
		"extra": map[string]any{"warmKeys": true}, "dcs": sites, "skus": []string{"fast-box", "slow-box"},
		"limits": map[string]any{"connIdle": 15000, "connectTimeout": 100, "maxRetryAfter": 0, "mostHops": 4, "retryAfter": false, "secondCopies": false},
		"rules":  map[string]any{"askWithin": 10000, "cold": 8900, "fallMultiple": 2.5, "startCapacity": 0.3, "stopSendingWithin": 500},
		"trafficTypes": []map[string]any{
			{"name": "hire-check", "idempotency": "safe", "keyScope": "all", "targetTime": 200, "abandonTime": 1000, "window": 5000, "revenue": 1, "tardyRevenue": 0},
			{"name": "hire-book", "idempotency": "unsafe", "keyScope": "all", "targetTime": 500, "abandonTime": 2000, "window": 5000, "revenue": 10, "tardyRevenue": 0},
		},
		"tenants": []map[string]any{{"name": "dorset-dairy", "allowancePerS": 500}, {"name": "fingal-orchards", "allowancePerS": 500}},
	}
}

// client sends requests to one node.
type client struct {
	lab  *lab
	node int
	at   string
	http http.Client

	mu       sync.Mutex
	statuses map[string]int
	foreign  int // answers with status 200 and the body of another request
	running  sync.WaitGroup
}

func (l *lab) newClient(node int, at string) *client {
	return &client{lab: l, node: node, at: at, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second}, Timeout: 4 * time.Second},
		statuses: map[string]int{}}
}

// send sends one request and returns its id and the answer's status, 0 if there was none.
func (c *client) send(isBook bool) (id string, status int) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	method, path, timeout, body := http.MethodGet, "/hire-check/baler", 0.5, ""
	if isBook {
		method, path, timeout, body = http.MethodPost, "/hire-book/baler", 1.0, "one baler, please"
	}
	r, err := http.NewRequest(method, "http://"+c.at+path, strings.NewReader(body))
	if err != nil {
		return id, 0
	}
	r.Host = "origin.svc"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Tenant", "dorset-dairy")
	r.Header.Set("Affinity-Key", fmt.Sprintf("%08x", rand.IntN(1500)))
	r.Header.Set("Request-Timeout", fmt.Sprint(timeout))
	resp, err := c.http.Do(r)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	if err != nil {
		c.lab.log("node %d, %s %s: no answer: %v", c.node, path, id, err)
		status = 0
	} else {
		c.lab.log("node %d, %s %s: %d", c.node, path, id, status)
	}
	c.mu.Lock()
	if status == http.StatusOK && !strings.HasSuffix(string(text), id) {
		c.foreign++
		c.lab.log("node %d, %s: the answer is that of another request: %s", c.node, id, text)
	}
	c.statuses[fmt.Sprintf("%s %d", path[1:strings.LastIndex(path, "/")], status)]++
	c.mu.Unlock()
	return id, status
}

// Every burstInterval a client sends burstSize requests at once, beside its rate.
const (
	burstInterval = 2 * time.Second
	burstSize     = 16
)

// load sends requests at a rate that may change, a third of them bookings, until stop is closed.
func (c *client) load(rate func() float64, stop <-chan struct{}) {
	burst := time.NewTicker(burstInterval)
	defer burst.Stop()
	for {
		n := 1
		select {
		case <-stop:
			c.running.Wait()
			return
		case <-burst.C:
			n = burstSize
		case <-time.After(time.Duration(rand.ExpFloat64() / rate() * float64(time.Second))):
		}
		for range n {
			isBook := rand.IntN(3) == 0
			c.running.Go(func() { c.send(isBook) })
		}
	}
}

// answers returns how often each status came, by class.
func (c *client) answers() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.statuses)
}

// foreignAnswers returns how many answers with status 200 had the body of another request.
func (c *client) foreignAnswers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.foreign
}
