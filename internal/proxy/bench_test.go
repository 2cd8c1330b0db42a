package proxy

import (
	"fmt"
	"testing"
	"time"

	"net"

	"github.com/rs/zerolog"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// BenchmarkOperation sends consecutive requests through a node, for each pair of client protocol and server protocol.
func BenchmarkOperation(b *testing.B) {
	cgiServer, _ := net.Listen("tcp", "127.0.0.1:0")
	httpServer, _ := net.Listen("tcp", "127.0.0.1:0")
	answer := message.Answer{Status: 200, Body: make([]byte, 150)}
	go func() {
		for {
			nc, err := cgiServer.Accept()
			if err != nil {
				return
			}
			go func() {
				for conn := fastcgi.NewClientConn(nc, nil); ; {
					call, err := conn.NextRequest(nil)
					if err != nil {
						return
					}
					conn.Answer(call, call.Append(nil, answer))
				}
			}()
		}
	}()
	go func() {
		for {
			nc, err := httpServer.Accept()
			if err != nil {
				return
			}
			go func() {
				var r http1.Request
				for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
					c.Send(http1.AppendAnswer(nil, answer))
				}
			}()
		}
	}()
	defer cgiServer.Close()
	defer httpServer.Close()
	for _, back := range []string{"http", "cgi"} {
		for _, front := range []string{"http", "cgi"} {
			b.Run(front+" to "+back, func(b *testing.B) {
				ln, _ := net.Listen("tcp", "127.0.0.1:0")
				free, _ := net.Listen("tcp", "127.0.0.1:0")
				at := httpServer.Addr()
				if back == "cgi" {
					at = cgiServer.Addr()
				}
				cfg := config(http1.Endpoint{ID: "s", Weight: 1, MachineKind: back, Address: at.(*net.TCPAddr).AddrPort()})
				text := fmt.Sprintf("[fastcgi]\nlisten = %q\nflavors = [\"cgi\"]", free.Addr())
				free.Close()
				cfg.Routes = routes(b, &cfg, text)
				stop, done := make(chan struct{}), make(chan error, 1)
				go func() { done <- run(Signals{Stop: stop}, cfg, zerolog.Nop(), ln.(*net.TCPListener)) }()
				nc, _ := net.Dial("tcp", ln.Addr().String())
				var client upstreamConn = http1.NewConn(nc)
				client.SendRequest(&message.Request{Method: []byte("GET"), Target: []byte("/up")}, time.Second, "")
				client.ReceiveResponse(&message.Response{})
				if front == "cgi" {
					nc, _ = net.Dial("tcp", free.Addr().String())
					client = fastcgi.NewServerConn(nc, nil, nil)
				}
				b.ReportAllocs()
				for b.Loop() {
					var r message.Response
					client.SendRequest(post(fmt.Sprint(ids.Add(1))), time.Second, "1.2.3.4")
					if err := client.ReceiveResponse(&r); err != nil || r.Status != 200 {
						b.Fatal(r.Status, err)
					}
				}
				close(stop)
				<-done
			})
		}
	}
}
