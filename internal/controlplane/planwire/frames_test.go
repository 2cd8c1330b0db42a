package planwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/discovery/incarnation"
)

// encodeFrame returns an encoded frame.
func encodeFrame(k Kind, body any) []byte {
	b, err := Append(nil, k, body)
	if err != nil {
		panic(err)
	}
	return b
}

// TestHandshake checks the results of valid and invalid first frames from a peer.
func TestHandshake(t *testing.T) {
	oversizedLength := binary.BigEndian.AppendUint32(nil, maxBodyBytes+1)
	for name, c := range map[string]struct {
		sent      []byte
		wantError string // empty: success
	}{
		"valid":              {encodeFrame(HelloKind, Hello{Version: Version, Name: "n1"}), ""},
		"another version":    {encodeFrame(HelloKind, Hello{Version: Version + 1, Name: "n1"}), "version 2 is spoken here, not 3"},
		"no name":            {encodeFrame(HelloKind, Hello{Version: Version}), "check hello: name missing or longer than the limit"},
		"a report first":     {encodeFrame(ReportKind, plan.Report{}), "before the greeting"},
		"refused":            {encodeFrame(RejectionKind, Rejection{Reason: "too many"}), "refused by the peer: too many"},
		"HTTP":               {[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), ErrFrameTooLong.Error()},
		"an oversized frame": {append(oversizedLength, byte(HelloKind)), ErrFrameTooLong.Error()},
		"an unknown kind":    {[]byte{0, 0, 0, 0, 99}, ErrUnknownKind.Error()},
		"invalid CBOR":       {[]byte{0, 0, 0, 2, byte(HelloKind), 0xff, 0xff}, "decode hello: "},
		"a truncated frame":  {encodeFrame(HelloKind, Hello{Version: Version, Name: "n1"})[:7], "EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := net.Pipe()
			defer a.Close()
			go func() {
				go io.Copy(io.Discard, b)
				b.Write(c.sent)
				b.Close()
			}()
			peer, err := NewConn(a).Handshake("p", time.Now().Add(5*time.Second))
			if c.wantError == "" {
				if err != nil || peer != "n1" {
					t.Errorf("got peer name %q, error %v, want n1 without error", peer, err)
				}
			} else if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("got error %v, want the one of the case", err)
			}
		})
	}
}

// TestReportSize checks that a report is decoded without changes and that its frame has at most 400 bytes.
func TestReportSize(t *testing.T) {
	r := plan.Report{SentAt: time.Hour, Interval: 500 * time.Millisecond, Types: []plan.TypeReport{{Name: "hire-check", TargetTime: 200 * time.Millisecond, Requests: 7}},
		CurrentShares: []plan.CurrentShare{{ID: "fast-1", Share: 0.25}}, NewerIncarnations: []incarnation.Entry{{ID: "fast-1", StartedUnixMS: 1 << 40, Address: "127.0.0.1:1", Weight: 1}}}
	for range 8 {
		r.Servers = append(r.Servers, plan.ServerReport{ID: "fast-1", Completions: []plan.Completions{{Count: 3, TotalLatency: 40 * time.Millisecond}}})
	}
	b := encodeFrame(ReportKind, r)
	k, body, err := Read(bytes.NewReader(b), nil)
	var decoded plan.Report
	if err == nil {
		err = Decode(body, &decoded)
	}
	if err != nil || k != ReportKind || len(decoded.Servers) != 8 || decoded.NewerIncarnations[0] != r.NewerIncarnations[0] || decoded.Servers[0].Completions[0] != r.Servers[0].Completions[0] {
		t.Errorf("got decoded report %+v, error %v, want the encoded report", decoded, err)
	}
	if len(b) > 400 {
		t.Errorf("got frame of %d bytes, want at most 400 bytes", len(b))
	}
}

// FuzzRead checks that arbitrary bytes are either decoded as a frame or rejected with a known error.
func FuzzRead(f *testing.F) {
	f.Add(encodeFrame(ReportKind, plan.Report{Servers: []plan.ServerReport{{ID: "s"}}}))
	f.Add(encodeFrame(ChangeKind, plan.Change{Incarnations: []incarnation.Entry{{ID: "s"}}}))
	f.Add([]byte{0, 0, 0, 9, 3, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		k, body, err := Read(bytes.NewReader(b), nil)
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrFrameTooLong) || errors.Is(err, ErrUnknownKind) {
				return
			}
			t.Fatal(err)
		}
		switch k {
		case ReportKind:
			var r plan.Report
			if Decode(body, &r) == nil {
				p := plan.NewPlanner(0)
				p.ReportReceived(time.Second, "f", &r)
				p.ComputePlans(time.Second).ForForwarder("f")
			}
		case ChangeKind:
			var c plan.Change
			if Decode(body, &c) == nil {
				plan.Apply(plan.Plan{}, c)
			}
		}
	})
}
