package baseline

import "fernvane/internal/proxy/dispatch"

// IdleRetention returns the retention of idle connections for a node with a policy: nil, which is the shipped one, except
// for the broken policy that keeps connections to draining servers.
func IdleRetention(policy string) dispatch.IdleRetention {
	if Broken[policy] == "closing" {
		return retainAll{}
	}
	return nil
}

// retainAll keeps every idle connection until it expires.
type retainAll struct{}

func (retainAll) MayIdle(bool) bool { return true }

func (retainAll) ClosesOnChange() bool { return false }
