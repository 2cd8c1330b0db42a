package baseline

import "fernvane/internal/proxy/dispatch"

// IdleRetention returns the retention of idle connections for a node with the named policy: nil, which selects the default,
// except for the broken policy that keeps connections to draining servers open.
func IdleRetention(policy string) dispatch.IdleRetention {
	if Broken[policy] == "closing" {
		return retainAll{}
	}
	return nil
}

// retainAll keeps each idle connection open until its idle timeout expires.
type retainAll struct{}

func (retainAll) KeepsIdle(bool) bool { return true }

func (retainAll) ClosesOnChange() bool { return false }
