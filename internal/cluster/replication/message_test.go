package replication

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Messages are decoded as they were encoded.
func TestMessagesDecode(t *testing.T) {
	s := Stream{Name: "n1", Incarnation: 7}
	for _, message := range []any{&Offer{Stream: s, FromOrigin: true, Ranges: Ranges{{From: 1, To: 5}}}, &Inventory{Stream: s, RejectReason: "x"},
		&Batch{Stream: s, First: 3, Count: 2, Frames: []byte{1}}, &Ack{Stream: s, First: 3, Count: 2}} {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var back any
		switch message.(type) {
		case *Offer:
			back = &Offer{}
		case *Inventory:
			back = &Inventory{}
		case *Batch:
			back = &Batch{}
		case *Ack:
			back = &Ack{}
		}
		if err := cbor.Unmarshal(encoded, back); err != nil || fmt.Sprint(back) != fmt.Sprint(message) {
			t.Errorf("message %v: got decoded %v, error %v", message, back, err)
		}
	}
}
