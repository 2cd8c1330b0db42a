package testbed

import (
	"fernvane/internal/proxy"
	"fernvane/internal/testbed/baseline"
)

// Configure sets a policy of package baseline in a node's configuration, by its name. For one that breaks a rule on
// purpose it also replaces the parts of the node that would keep the rule. ok is false if there is no such policy.
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

// noDrainGuard allows attempts at servers whose drain grace has passed.
type noDrainGuard struct{}

func (noDrainGuard) IsTooLateToWrite(string) bool { return false }

// ignoredDisconnects reports no client as disconnected.
type ignoredDisconnects struct{ proxy.DisconnectWatcher }

func (ignoredDisconnects) IsDisconnected() bool { return false }

func (w ignoredDisconnects) IsDisconnectedBehindUnread() bool {
	w.DisconnectWatcher.IsDisconnectedBehindUnread()
	return false
}

func (ignoredDisconnects) WatchDisconnect(func()) (stop func()) { return func() {} }
