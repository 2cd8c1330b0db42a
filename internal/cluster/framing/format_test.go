package framing

import (
	"bytes"
	"encoding/hex"
	"testing"
)

// Frames must be encoded exactly as by commit 7af5c59, because processes of different builds exchange them.
func TestFrameBytes(t *testing.T) {
	plain := Protocol{Version: 3, KindLimit: 9, MaxBodyBytes: 1 << 10}
	summed := Protocol{Version: 3, KindLimit: 9, MaxBodyBytes: 1 << 10, HasChecksums: true}
	for name, c := range map[string]struct {
		protocol *Protocol
		kind     Kind
		body     any
		want     string
	}{
		"hello":                    {&plain, HelloKind, Hello{Version: 3, Name: "n1"}, "00000005018203626e31"},
		"hello with checksum":      {&summed, HelloKind, Hello{Version: 3, Name: "n1"}, "00000009018203626e311b39c050"},
		"rejection":                {&plain, RejectionKind, Rejection{Reason: "why"}, "00000005028163776879"},
		"rejection with checksum":  {&summed, RejectionKind, Rejection{Reason: "why"}, "00000009028163776879f265afbd"},
		"first kind of a protocol": {&plain, FirstProtocolKind, []float64{1.5, 0.1}, "0000000d0382f93e00fb3fb999999999999a"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := c.protocol.Append(nil, c.kind, c.body)
			if err != nil || hex.EncodeToString(got) != c.want {
				t.Fatalf("Append: got %x, want %s, error %v", got, c.want, err)
			}
			k, body, err := c.protocol.Read(bytes.NewReader(got), nil)
			if err != nil || k != c.kind {
				t.Fatalf("Read: got kind %d, error %v", k, err)
			}
			switch want := c.body.(type) {
			case Hello:
				var h Hello
				if err := Decode(body, &h); err != nil || h != want {
					t.Errorf("Decode: got %+v, error %v", h, err)
				}
			case Rejection:
				var r Rejection
				if err := Decode(body, &r); err != nil || r != want {
					t.Errorf("Decode: got %+v, error %v", r, err)
				}
			}
		})
	}
}
