package scenario

import "time"

func or[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// fill sets what may be left out.
func (s *Scenario) fill() {
	or(&s.Nodes.Cores, 1)
	or(&s.Nodes.MemoryMB, 192)
	or(&s.Nodes.Sockets, 1024)
	or(&s.Nodes.Notice, Span(2*time.Second))
	or(&s.Registry.Session, Span(time.Second))
	or(&s.Journal.WhenFailing, "deny")
	or(&s.Lists.Start, "known")
	if s.Journal.Promise == "machines" {
		or(&s.Peers.Replicas, 2)
	}
	or(&s.Peers.SlowAfter, Span(50*time.Millisecond))
	or(&s.Peers.RepairBytes, 8<<20)
	or(&s.Journal.MaxWait, Span(200*time.Millisecond))
	or(&s.Planners.Every, Span(500*time.Millisecond))
	for i := range s.Servers {
		b := &s.Servers[i]
		or(&b.Cores, 1)
		or(&b.Speed, 1)
		or(&b.Queue, 300)
		or(&b.Connections, 700)
		or(&b.ColdShare, 0.4)
		or(&b.ColdFor, Span(6*time.Second))
		or(&b.Keys, 60)
	}
	for i := range s.Types {
		t := &s.Types[i]
		or(&t.Path, "/"+t.Name+"/"+t.Name)
		or(&t.Dist, "exp")
		or(&t.CV, 1)
		or(&t.Revenue, 1)
		or(&t.Repeat, "retriable")
		or(&t.Group, "all")
	}
	or(&s.Load.Shape, "poisson")
	or(&s.Load.Period, Span(2*time.Second))
	or(&s.Load.Zipf, 1)
	or(&s.Load.Over, 0.2)
	or(&s.Clients.GivesUp, 0.5)
	or(&s.Clients.LeavesAt, 0.05)
	or(&s.Clients.Backoff, Span(50*time.Millisecond))
	or(&s.Discovery.Notice, Span(time.Second))
	or(&s.Discovery.SilentNotice, Span(6*time.Second))
	or(&s.Discovery.Add, Span(time.Second))
	or(&s.Discovery.Spread, Span(100*time.Millisecond))
	or(&s.Discovery.LinesPerS, 5000)
	or(&s.Discovery.CallLines, 40)
	or(&s.Discovery.Timeout, Span(3*time.Second))
	or(&s.Rules.DrainGrace, Span(500*time.Millisecond))
	or(&s.Rules.FallMultiple, 2.5)
	or(&s.Rules.FallWindow, Span(2*time.Second))
	or(&s.Rules.MaxAttempts, 4)
	or(&s.Rules.AskWithin, Span(5*time.Second))
	or(&s.Rules.Slack, Span(50*time.Millisecond))
}
