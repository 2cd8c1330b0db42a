package shadow

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

const ms = time.Millisecond

func own() policy.Settings {
	return policy.Settings{Nodes: 4, Tick: 5 * ms, MostHops: 4, MaxRetryIn: time.Second, Types: []policy.TrafficType{
		{Repeat: policy.Retriable, TargetTime: 400 * ms, AbandonTime: 2 * time.Second, Revenue: 1},
		{Repeat: policy.Binding, TargetTime: 400 * ms, AbandonTime: 2 * time.Second, Revenue: 1}}}
}

// day plays one with slow answers, errors and silence to a module, at a pace that all is compared.
func day(m interface {
	Handle(time.Duration, *policy.Input, []policy.Effect) []policy.Effect
}) (all []policy.Effect) {
	at := func(now time.Duration, in policy.Input) {
		all = append(all, m.Handle(now, &in, nil)...)
	}
	var list []policy.Member
	for s := range 8 {
		list = append(list, policy.Member{Server: s, Rank: uint32(s), Scale: 1})
	}
	at(0, policy.Input{Kind: policy.List, Scope: policy.Saved, Members: list})
	ends := []policy.Outcome{policy.Success, policy.Failure, policy.Success, policy.TimedOut, policy.Overloaded, policy.Success}
	for i := range 400 {
		now := time.Duration(i) * 50 * ms
		at(now, policy.Input{Kind: policy.Arrival, Op: i, Type: i % 2, Key: uint32(1 + i%5), Budget: time.Second})
		at(now+20*ms, policy.Input{Kind: policy.Woken})
		if how := ends[i%len(ends)]; i%7 > 0 {
			at(now+30*ms, policy.Input{Kind: policy.HopEnded, Op: i, Outcome: how, Final: how == policy.Success})
		}
	}
	return all
}

func TestCountsByKind(t *testing.T) {
	alone := day(policy.New(own(), 7))
	for name, c := range map[string]struct {
		change func(*policy.Settings)
		want   []Kind // all that must be counted; none: nothing may be
		never  []Kind
	}{
		"the same settings":         {func(*policy.Settings) {}, nil, nil},
		"late answers earn":         {func(s *policy.Settings) { s.Types[1].LateRevenue = 0.5 }, []Kind{HopTime}, []Kind{Server, Denied, WrittenOff}},
		"keys are remembered":       {func(s *policy.Settings) { s.WarmKeys = true }, []Kind{Server}, []Kind{WrittenOff, ReturnTime}},
		"clients told nothing":      {func(s *policy.Settings) { s.MaxRetryIn = 0 }, []Kind{ReturnTime}, []Kind{Server, WrittenOff}},
		"one hop only":              {func(s *policy.Settings) { s.MostHops = 1 }, []Kind{Denied}, []Kind{FurtherHop}},
		"what may rerun is binding": {func(s *policy.Settings) { s.Types[0].Repeat = policy.Binding }, []Kind{WrittenOff}, []Kind{FurtherHop}},
		"what is binding may rerun": {func(s *policy.Settings) { s.Types[1].Repeat = policy.Retriable }, []Kind{FurtherHop}, []Kind{WrittenOff}},
	} {
		t.Run(name, func(t *testing.T) {
			watched := own()
			c.change(&watched)
			watch := NewWatch(&settings.Settings{Settings: watched})
			if got := day(New(policy.New(own(), 7), watch)); !reflect.DeepEqual(got, alone) {
				t.Error("decided otherwise for being watched")
			}
			seen := watch.Take()
			if seen.Compared < 1000 || seen.Failed {
				t.Errorf("%d compared", seen.Compared)
			}
			seen.Each(func(k Kind, n int) {
				if n > 0 && (len(c.want) == 0 || slices.Contains(c.never, k)) || n == 0 && slices.Contains(c.want, k) {
					t.Errorf("%s: %d", k, n)
				}
			})
			if again := watch.Take(); again != (Counts{}) {
				t.Errorf("counted twice: %+v", again)
			}
		})
	}
}

// No more is compared than may be, however much is decided, and settings that the module cannot bear end the watching only.
func TestBounds(t *testing.T) {
	for name, c := range map[string]struct {
		shares []float64
		most   int
		failed bool
	}{"at one moment": {[]float64{1}, perSecond, false}, "of no use": {nil, 0, true}} {
		t.Run(name, func(t *testing.T) {
			s, watch := own(), new(Watch)
			s.AllowancePerS = []float64{1}
			w := New(policy.New(s, 7), watch)
			s.AllowancePerS = c.shares
			watch.Set(&settings.Settings{Settings: s})
			for i := range 10 * perSecond {
				w.Handle(0, &policy.Input{Kind: policy.Arrival, Op: i, Budget: time.Second}, nil)
			}
			if seen := watch.Take(); seen.Compared > c.most || seen.Failed != c.failed {
				t.Errorf("%d compared, failed %v", seen.Compared, seen.Failed)
			}
		})
	}
}

// Comparisons grow rare as servers grow many, and do not end.
func TestManyServersAreComparedSeldom(t *testing.T) {
	for _, c := range []struct{ servers, least, most int }{{1_000, 200, 300}, {20_000, 10, 15}, {200_000, 1, 1}} {
		t.Run(fmt.Sprint(c.servers), func(t *testing.T) {
			watch := NewWatch(&settings.Settings{Settings: own()})
			w := New(policy.New(own(), 7), watch)
			list := make([]policy.Member, c.servers)
			for i := range list {
				list[i] = policy.Member{Server: i, Rank: uint32(i), Scale: 1}
			}
			w.Handle(0, &policy.Input{Kind: policy.List, Scope: policy.Whole, Members: list}, nil)
			for i := range 1_000 { // over two seconds
				w.Handle(time.Duration(i)*2*time.Millisecond, &policy.Input{Kind: policy.Arrival, Op: i, Budget: time.Second}, nil)
			}
			if got := watch.Take().Compared; got < c.least || got > c.most {
				t.Errorf("%d compared in two seconds", got)
			}
		})
	}
}
