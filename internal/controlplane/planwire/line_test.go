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

func framed(k Kind, body any) []byte {
	b, err := Append(nil, k, body)
	if err != nil {
		panic(err)
	}
	return b
}

// What a peer sends in place of a greeting, and what it is told.
func TestGreetings(t *testing.T) {
	long := binary.BigEndian.AppendUint32(nil, frameMost+1)
	for name, c := range map[string]struct {
		sends []byte
		why   string
	}{
		"well":               {framed(HelloKind, Hello{Version: Version, Name: "n1"}), ""},
		"another version":    {framed(HelloKind, Hello{Version: Version + 1, Name: "n1"}), "version 2 is spoken here, not 3"},
		"no name":            {framed(HelloKind, Hello{Version: Version}), "without a name"},
		"a report first":     {framed(ReportKind, plan.Report{}), "before the greeting"},
		"refused":            {framed(RefusalKind, Refusal{Reason: "too many"}), "refused by the peer: too many"},
		"HTTP":               {[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), ErrTooLong.Error()},
		"an oversized frame": {append(long, byte(HelloKind)), ErrTooLong.Error()},
		"an unknown kind":    {[]byte{0, 0, 0, 0, 99}, ErrKind.Error()},
		"no CBOR":            {[]byte{0, 0, 0, 2, byte(HelloKind), 0xff, 0xff}, "cannot be read"},
		"half a frame":       {framed(HelloKind, Hello{Version: Version, Name: "n1"})[:7], "EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := net.Pipe()
			defer a.Close()
			go func() {
				go io.Copy(io.Discard, b)
				b.Write(c.sends)
				b.Close()
			}()
			peer, err := New(a).Greet("p", time.Now().Add(5*time.Second))
			if c.why == "" {
				if err != nil || peer != "n1" {
					t.Errorf("%q, %v", peer, err)
				}
			} else if err == nil || !strings.Contains(err.Error(), c.why) {
				t.Errorf("%v", err)
			}
		})
	}
}

// A report comes through as it was, and small: bytes by what it tells.
func TestReportSize(t *testing.T) {
	r := plan.Report{Sent: time.Hour, Span: 500 * time.Millisecond, Types: []plan.Type{{Name: "hire-check", Target: 200 * time.Millisecond, Asked: 7}},
		Held: []plan.Held{{ID: "fast-1", Share: 0.25}}, Above: []incarnation.Entry{{ID: "fast-1", Up: 1 << 40, Address: "127.0.0.1:1", Size: 1}}}
	for range 8 {
		r.Servers = append(r.Servers, plan.Server{ID: "fast-1", Answered: []plan.Answered{{N: 3, Sum: 40 * time.Millisecond}}})
	}
	b := framed(ReportKind, r)
	k, body, err := Read(bytes.NewReader(b), nil)
	var back plan.Report
	if err == nil {
		err = Decode(body, &back)
	}
	if err != nil || k != ReportKind || len(back.Servers) != 8 || back.Above[0] != r.Above[0] || back.Servers[0].Answered[0] != r.Servers[0].Answered[0] {
		t.Errorf("%+v, %v", back, err)
	}
	if len(b) > 400 {
		t.Errorf("%d bytes", len(b))
	}
}

// Whatever comes, a frame is read or refused, within its bounds.
func FuzzRead(f *testing.F) {
	f.Add(framed(ReportKind, plan.Report{Servers: []plan.Server{{ID: "s"}}}))
	f.Add(framed(ChangeKind, plan.Change{Lives: []incarnation.Entry{{ID: "s"}}}))
	f.Add([]byte{0, 0, 0, 9, 3, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		k, body, err := Read(bytes.NewReader(b), nil)
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrTooLong) || errors.Is(err, ErrKind) {
				return
			}
			t.Fatal(err)
		}
		switch k {
		case ReportKind:
			var r plan.Report
			if Decode(body, &r) == nil {
				p := plan.New(0)
				p.Reported(time.Second, "f", &r)
				p.Plan(time.Second).For("f")
			}
		case ChangeKind:
			var c plan.Change
			if Decode(body, &c) == nil {
				plan.Apply(plan.Plan{}, c)
			}
		}
	})
}
