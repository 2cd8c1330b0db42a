package dispatch

// IdleRetention is the rule by which idle connections to servers are kept. The shipped rule is closeUnusable; the testbed
// has one that breaks it on purpose, to show that its checks notice.
type IdleRetention interface {
	// MayIdle reports whether a connection that becomes idle is kept, given whether its server is usable.
	MayIdle(isServerUsable bool) bool
	// ClosesOnChange reports whether a server's idle connections are closed when it drains, leaves, moves to another address
	// or changes its protocol.
	ClosesOnChange() bool
}

// closeUnusable keeps idle connections to usable servers only.
type closeUnusable struct{}

func (closeUnusable) MayIdle(isServerUsable bool) bool { return isServerUsable }

func (closeUnusable) ClosesOnChange() bool { return true }
