package testbed

import (
	"fernvane/internal/proxy"
	"fernvane/internal/testbed/baseline"
)

// Configure sets the named policy of package baseline in a node's configuration. For a policy that violates a rule on
// purpose, it also replaces the components of the node that enforce the rule. ok is false if the policy is unknown.
func Configure(cfg *proxy.Config, policyName string) (ok bool) {
	if cfg.NewPolicy, ok = baseline.Find(policyName); !ok {
		return false
	}
	rule, isBroken := baseline.Broken[policyName]
	if isBroken {
		cfg.DrainGuard = noDrainGuard{}
	}
	if rule == "leavers" {
		cfg.WrapDisconnectWatcher = func(w proxy.DisconnectWatcher) proxy.DisconnectWatcher { return ignoredDisconnects{w} }
	}
	cfg.Retention = baseline.IdleRetention(policyName)
	return true
}

// noDrainGuard allows attempts at servers after their drain grace has expired, so that the policy "ignores-drains" can
// send them.
type noDrainGuard struct{}

func (noDrainGuard) IsTooLateToWrite(string) bool { return false }

// ignoredDisconnects reports every client as connected.
type ignoredDisconnects struct{ proxy.DisconnectWatcher }

func (ignoredDisconnects) IsDisconnected() bool { return false }

func (w ignoredDisconnects) IsDisconnectedBehindUnread() bool {
	w.DisconnectWatcher.IsDisconnectedBehindUnread()
	return false
}

func (ignoredDisconnects) WatchDisconnect(func()) (stop func()) { return func() {} }
