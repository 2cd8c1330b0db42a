package main

import (
	"net"
	"time"
)

// chunk is what was read at once from one side of a link.
type chunk struct {
	bytes []byte // nil: the side has closed
	at    time.Time
}

// delay starts a proxy that passes on connections to an address, each direction with a delay, and returns the proxy's address.
func (l *lab) delay(to string, oneWay time.Duration) (address string, err error) {
	host, _, err := net.SplitHostPort(to)
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go passLate(near.(*net.TCPConn), far.(*net.TCPConn), oneWay)
			go passLate(far.(*net.TCPConn), near.(*net.TCPConn), oneWay)
		}
	}()
	return ln.Addr().String(), nil
}

// passLate copies what one side sends to the other one after a delay. A close is passed on after the same delay.
func passLate(from, to *net.TCPConn, oneWay time.Duration) {
	chunks := make(chan chunk, 1024)
	go func() {
		for c := range chunks {
			time.Sleep(time.Until(c.at.Add(oneWay)))
			if c.bytes == nil {
				to.Close()
				return
			}
			if _, err := to.Write(c.bytes); err != nil {
				from.Close()
			}
		}
	}()
	for {
		b := make([]byte, 32<<10)
		n, err := from.Read(b)
		if n > 0 {
			chunks <- chunk{b[:n], time.Now()}
		}
		if err != nil {
			chunks <- chunk{nil, time.Now()}
			return
		}
	}
}
