package scenario

import "time"

// setDefault sets a value that is zero.
func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// setDefaults sets the defaults of all optional values.
func (s *Scenario) setDefaults() {
	setDefault(&s.Nodes.Cores, 1)
	setDefault(&s.Nodes.MemoryMB, 192)
	setDefault(&s.Nodes.Sockets, 1024)
	setDefault(&s.Nodes.CrashNotice, Duration(2*time.Second))
	setDefault(&s.Registry.Session, Duration(time.Second))
	setDefault(&s.Journal.WhenFailing, "deny")
	setDefault(&s.Lists.Start, "known")
	if s.Journal.Durability == "machines" {
		setDefault(&s.Peers.Replicas, 2)
	}
	setDefault(&s.Peers.SlowAfter, Duration(50*time.Millisecond))
	setDefault(&s.Peers.RepairBytes, 8<<20)
	setDefault(&s.Journal.MaxWait, Duration(200*time.Millisecond))
	setDefault(&s.Planners.Interval, Duration(500*time.Millisecond))
	for i := range s.Servers {
		group := &s.Servers[i]
		setDefault(&group.Cores, 1)
		setDefault(&group.Speed, 1)
		setDefault(&group.Queue, 300)
		setDefault(&group.Connections, 700)
		setDefault(&group.SlowStartCapacity, 0.4)
		setDefault(&group.SlowStartDuration, Duration(6*time.Second))
		setDefault(&group.CacheSize, 60)
	}
	for i := range s.Types {
		t := &s.Types[i]
		setDefault(&t.Path, "/"+t.Name+"/"+t.Name)
		setDefault(&t.WorkDistribution, "exp")
		setDefault(&t.VariationCoefficient, 1)
		setDefault(&t.Revenue, 1)
		setDefault(&t.Idempotency, "retriable")
		setDefault(&t.KeyScope, "all")
	}
	setDefault(&s.Load.Shape, "poisson")
	setDefault(&s.Load.Period, Duration(2*time.Second))
	setDefault(&s.Load.Zipf, 1)
	setDefault(&s.Load.OverageRevenue, 0.2)
	setDefault(&s.Clients.TimeoutShare, 0.5)
	setDefault(&s.Clients.DisconnectAfter, 0.05)
	setDefault(&s.Clients.Backoff, Duration(50*time.Millisecond))
	setDefault(&s.Discovery.Notice, Duration(time.Second))
	setDefault(&s.Discovery.SilentNotice, Duration(6*time.Second))
	setDefault(&s.Discovery.Add, Duration(time.Second))
	setDefault(&s.Discovery.Spread, Duration(100*time.Millisecond))
	setDefault(&s.Discovery.LinesPerSecond, 5000)
	setDefault(&s.Discovery.CallLines, 40)
	setDefault(&s.Discovery.Timeout, Duration(3*time.Second))
	setDefault(&s.Rules.DrainGrace, Duration(500*time.Millisecond))
	setDefault(&s.Rules.OverloadFactor, 2.5)
	setDefault(&s.Rules.OverloadWindow, Duration(2*time.Second))
	setDefault(&s.Rules.MaxAttempts, 4)
	setDefault(&s.Rules.RequestEndpointsWithin, Duration(5*time.Second))
	setDefault(&s.Rules.Slack, Duration(50*time.Millisecond))
}
