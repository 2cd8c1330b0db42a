package dispatch

import (
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// hedgingDecider sends each request to server 0. If the timer fires while that attempt is in flight, it sends a hedged attempt
// to server 1.
type hedgingDecider struct{ inFlight [][]bool } // by request and attempt index

func (decider *hedgingDecider) Handle(_ time.Duration, in *policy.Input, e []policy.Effect) []policy.Effect {
	switch in.Kind {
	case policy.RequestArrived:
		decider.inFlight = append(decider.inFlight, []bool{true})
		return append(e, policy.Effect{Kind: policy.SendAttempt, Request: in.Request, Server: 0, Duration: time.Hour})
	case policy.TimerFired:
		for request := range decider.inFlight {
			if len(decider.inFlight[request]) == 1 && decider.inFlight[request][0] {
				decider.inFlight[request] = append(decider.inFlight[request], true)
				e = append(e, policy.Effect{Kind: policy.SendAttempt, Request: request, Server: 1, Duration: time.Hour})
			}
		}
	case policy.AttemptEnded:
		if decider.inFlight[in.Request][in.Attempt] = false; !in.IsSettled && !slices.Contains(decider.inFlight[in.Request], true) {
			return append(e, policy.Effect{Kind: policy.Fail, Request: in.Request})
		}
	case policy.ClientLeft:
		clear(decider.inFlight[in.Request])
	}
	return e
}

// TestHedgedAttempts checks that a request with two attempts in flight receives one final response in any order of their
// results, that the other attempt is canceled, and that the request is removed.
func TestHedgedAttempts(t *testing.T) {
	const first, hedged, disconnect = 0, 1, 2
	type step struct {
		event  int
		result AttemptResult
	}
	for name, c := range map[string]struct {
		steps        []step
		want         Action
		wantResponse string
		wantCanceled [2]bool // first attempt, hedged attempt
	}{
		"hedge succeeds":                             {[]step{{hedged, Succeeded}, {first, Abandoned}}, Respond, "hedge", [2]bool{true, false}},
		"first succeeds":                             {[]step{{first, Succeeded}, {hedged, Abandoned}}, Respond, "first", [2]bool{false, true}},
		"both succeed, hedge earlier":                {[]step{{hedged, Succeeded}, {first, Succeeded}}, Respond, "hedge", [2]bool{true, false}},
		"both succeed, first earlier":                {[]step{{first, Succeeded}, {hedged, Succeeded}}, Respond, "first", [2]bool{false, true}},
		"first loses its connection":                 {[]step{{first, ConnectionLost}, {hedged, Succeeded}}, Respond, "hedge", [2]bool{}},
		"hedge loses its connection":                 {[]step{{hedged, ConnectionLost}, {first, Succeeded}}, Respond, "first", [2]bool{}},
		"both lose their connections":                {[]step{{hedged, ConnectionLost}, {first, ConnectionLost}}, Fail, "", [2]bool{}},
		"hedge finds the request faulty":             {[]step{{hedged, RequestFault}, {first, Abandoned}}, Fail, "hedge", [2]bool{true, false}},
		"client disconnects":                         {[]step{{disconnect, 0}, {hedged, Succeeded}, {first, Succeeded}}, Drop, "", [2]bool{}},
		"client disconnects after a lost connection": {[]step{{first, ConnectionLost}, {disconnect, 0}, {hedged, Succeeded}}, Drop, "", [2]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{TypeNames: []string{"check"}, Settings: policy.Settings{TrafficTypes: []policy.TrafficType{{ClientTimeout: time.Hour}}}}
			d := New(s, 1, Limits{MemoryMB: 64, Sockets: 64}, func(policy.Settings, uint32) engine.Decider { return &hedgingDecider{} })
			t.Cleanup(d.Stop)
			d.ApplyList(fullList(loopbackEndpoint("a", 1), loopbackEndpoint("b", 2)), endpoints.SourceConfig)
			var hedge Decision
			var canceled [2]bool
			request, err := d.Submit(Arrival{ID: []byte("x"), RouteIndex: -1, Timeout: time.Hour, StartHedge: func(_ *Request, decision Decision) { hedge = decision }})
			if err != nil {
				t.Fatal(err)
			}
			decision := request.NextDecision(func() { canceled[first] = true })
			d.onTimer()
			if hedge.Action != SendAttempt || hedge.Attempt != 1 || hedge.Server != "b" {
				t.Fatalf("got hedged attempt %+v, want attempt 1 at server b", hedge)
			}
			request.HedgeStarted(hedge, func() { canceled[hedged] = true })
			if !request.BeginWrite(decision.Attempt) || !request.BeginWrite(hedge.Attempt) {
				t.Fatal("BeginWrite returned false before the request was settled")
			}
			for _, s := range c.steps {
				switch s.event {
				case disconnect:
					request.ClientDisconnected()
				case first:
					request.AttemptEnded(decision.Attempt, s.result, []byte("first"))
				case hedged:
					request.AttemptEnded(hedge.Attempt, s.result, []byte("hedge"))
				}
			}
			last := request.NextDecision(func() {})
			if last.Action != c.want || string(last.Response) != c.wantResponse || canceled != c.wantCanceled {
				t.Errorf("got action %d, response %q and canceled attempts %v", last.Action, last.Response, canceled)
			}
			n := d.Counts()
			if n.Responded+n.Failed+n.Disconnected != 1 || n.Hedges != 1 || n.OpenRequests != 0 || len(d.requests.openClientIDs) != 0 {
				t.Errorf("got counts %+v, want one settled request, one hedge and no open request", n)
			}
		})
	}
}

// TestHedgeAfterFinalResponse checks that a hedged attempt whose goroutine starts after the final response is canceled before it
// is sent.
func TestHedgeAfterFinalResponse(t *testing.T) {
	d := New(settings.Settings{TypeNames: []string{"check"}, Settings: policy.Settings{TrafficTypes: []policy.TrafficType{{}}}}, 1,
		Limits{MemoryMB: 64, Sockets: 64}, func(policy.Settings, uint32) engine.Decider { return &hedgingDecider{} })
	t.Cleanup(d.Stop)
	d.ApplyList(fullList(loopbackEndpoint("a", 1), loopbackEndpoint("b", 2)), endpoints.SourceConfig)
	var hedge Decision
	request, _ := d.Submit(Arrival{ID: []byte("x"), RouteIndex: -1, Timeout: time.Hour, StartHedge: func(_ *Request, decision Decision) { hedge = decision }})
	decision := request.NextDecision(func() {})
	d.onTimer()
	request.AttemptEnded(decision.Attempt, Succeeded, nil)
	canceled := false
	if request.HedgeStarted(hedge, func() { canceled = true }); !canceled || !request.IsSettled() {
		t.Error("hedged attempt of a settled request was not canceled")
	}
	request.NextDecision(func() {})
	request.AttemptEnded(hedge.Attempt, Abandoned, nil)
	if n := d.Counts(); n.OpenRequests != 0 || n.AttemptResults[Abandoned] != 1 {
		t.Errorf("got counts %+v, want no open request and one abandoned attempt", n)
	}
}
