package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	dialTimeout  = 2 * time.Second
	redialPause  = 5 * time.Millisecond // before a client connects again
	requestPause = 20 * time.Millisecond
)

func dialTCP(at string) (*net.TCPConn, error) {
	c, err := net.DialTimeout("tcp", at, dialTimeout)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// opening writes what a client sends on a new connection. The client then reads until the connection ends.
type opening func(c net.Conn, random *rand.Rand)

// runClients keeps count connections to an address for a time. Each sends its opening and is opened again when the process closes it.
func runClients(at string, seed uint64, count int, duration time.Duration, send opening) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				if c, err := dialTCP(at); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					send(c, random)
					io.Copy(io.Discard, c)
					stop()
					c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(redialPause):
				}
			}
		})
	}
	clients.Wait()
}

// regularClient sends one request after another on its own connection.
type regularClient struct {
	sent, rejected int // rejected: answered with another status than 200
	unanswered     int // no answer in time
	slowest        time.Duration
}

// run sends requests to an HTTP listener until the context ends.
func (r *regularClient) run(ctx context.Context, t *testing.T, at string) {
	client := &httpClient{at: at}
	defer client.close()
	for ctx.Err() == nil {
		r.sent++
		began := time.Now()
		status, err := client.get(fmt.Sprintf("/check/%d", r.sent), fmt.Sprintf("regular-%d", r.sent))
		took := time.Since(began)
		r.slowest = max(r.slowest, took)
		switch {
		case err != nil:
			r.unanswered++
			t.Logf("regular request %d after %s: %v", r.sent, took, err)
		case status != 200:
			r.rejected++
		}
		select {
		case <-ctx.Done():
		case <-time.After(requestPause):
		}
	}
}

func (r *regularClient) String() string {
	return fmt.Sprintf("%d regular requests, %d rejected, %d unanswered, slowest %s", r.sent, r.rejected, r.unanswered, r.slowest)
}

// runBesideRegular runs misbehaving clients while a regular client sends requests to an HTTP listener.
func runBesideRegular(t *testing.T, at string, run func()) *regularClient {
	ctx, cancel := context.WithCancel(context.Background())
	regular := &regularClient{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		regular.run(ctx, t, at)
	}()
	run()
	cancel()
	<-done
	return regular
}
