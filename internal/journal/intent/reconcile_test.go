package intent

import (
	"fmt"
	"testing"
)

// The proof that an execution record gives, depending on whether it lists the request and covers its time.
func TestReconcile(t *testing.T) {
	for name, c := range map[string]struct {
		at    int64
		ids   map[string]bool
		proof string
	}{
		"listed":                                         {100, map[string]bool{"x": true}, "1"},
		"not listed":                                     {100, nil, "2"},
		"listed, before the record begins":               {5, map[string]bool{"x": true}, "1"},
		"not listed, before the record begins":           {5, nil, ""},
		"shortly before the record ends":                 {195, nil, ""},
		"not listed, long enough before the record ends": {189, nil, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			assembler := NewAssembler()
			r := intent(0)
			r.AtUnixNano = c.at
			assembler.Add(&r)
			got := ""
			for _, s := range Reconcile(assembler.Incomplete()[0], map[string]*ExecutionRecord{"s0": {Server: "s0", FromUnixNano: 10, ToUnixNano: 200, RequestIDs: c.ids}}, 10, 300) {
				got += fmt.Sprint(s.Proof)
			}
			if got != c.proof {
				t.Errorf("got proofs %q", got)
			}
		})
	}
}
