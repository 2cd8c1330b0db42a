package soak

import (
	"context"
	"io"
	"net"
	"sync"
)

// crowdTexts are what clients of a crowd send before they fall silent: nothing, a whole request, half of one.
var idleClientInputs = []string{
	"",
	"GET /up HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: ffff\r\nContent-Length: 9\r\n\r\nhalf",
}

// runCrowd connects clients that hold their connections idle until the node closes them or ctx ends.
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
