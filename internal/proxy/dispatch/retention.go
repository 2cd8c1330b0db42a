package dispatch

// IdleRetention is the rule for keeping idle connections to servers. The default is closeUnusable. The testbed has a
// deliberately broken rule, with which it verifies that its checks detect the violation.
type IdleRetention interface {
	// KeepsIdle reports whether a connection that becomes idle is kept. isServerUsable states whether its server is usable.
	KeepsIdle(isServerUsable bool) bool
	// ClosesOnChange reports whether the idle connections to a server are closed when the server starts draining, is removed,
	// moves to another address or changes its protocol.
	ClosesOnChange() bool
}

// closeUnusable keeps only idle connections to usable servers.
type closeUnusable struct{}

func (closeUnusable) KeepsIdle(isServerUsable bool) bool { return isServerUsable }

func (closeUnusable) ClosesOnChange() bool { return true }
