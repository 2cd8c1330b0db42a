package hostile

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	redialPause = 5 * time.Millisecond // before a client connects again
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
