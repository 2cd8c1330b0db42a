package baseline

import "fernvane/internal/proxy/dispatch"

// IdleRetention returns the rule by which a node that runs a named policy keeps idle connections to servers: nil for the
// shipped rule, another one only for the broken policy that keeps connections to servers that drain.
func IdleRetention(policy string) dispatch.IdleRetention {
	if Broken[policy] == "closing" {
		return keepAll{}
	}
	return nil
}

// keepAll keeps every idle connection until it expires, whatever becomes of its server.
type keepAll struct{}

func (keepAll) MayIdle(bool) bool { return true }

func (keepAll) ClosesOnChange() bool { return false }
