package soak

import (
	"context"
	"io"
	"net"
	"sync"
)

// idleClientInputs are the inputs that idle clients send before they stop sending: nothing, a complete request, a truncated request.
var idleClientInputs = []string{
	"",
	"GET /up HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: ffff\r\nContent-Length: 9\r\n\r\nhalf",
}

// runIdleClients opens idleClientCount connections that stay idle until the node closes them or ctx ends.
func runIdleClients(ctx context.Context, address string) {
	var wg sync.WaitGroup
	for i := range idleClientCount {
		wg.Go(func() {
			dialer := net.Dialer{}
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return
			}
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			io.WriteString(c, idleClientInputs[i%len(idleClientInputs)])
			io.Copy(io.Discard, c)
		})
	}
	wg.Wait()
}
