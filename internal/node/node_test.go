package node

import (
	"testing"
	"time"

	"fernvane/policy"
)

type record struct{ forwards, answers int }

func (r *record) Forward(uint64, uint32, time.Duration) { r.forwards++ }
func (r *record) TurnAway(uint64, time.Duration)        { r.answers++ }
func (r *record) Lose(uint64)                           { r.answers++ }
func (r *record) Schedule(time.Duration)                {}
func (r *record) Release(uint32)                        {}
func (r *record) Listen()                               {}

func TestIndicesAreReleased(t *testing.T) {
	settings := policy.Settings{Nodes: 1, MostHops: 1, Types: []policy.TrafficType{
		{TargetTime: 400 * time.Millisecond, AbandonTime: time.Second, Revenue: 1}}}
	for name, c := range map[string]struct {
		do   func(*Node[uint32], *record)
		held int
	}{
		"handled": {func(n *Node[uint32], r *record) {
			n.HopEnded(0, 7, 5, policy.Input{Outcome: policy.Success, Final: true}, r)
		}, 0},
		"left, the hop still out": {func(n *Node[uint32], r *record) { n.Left(0, 7, r) }, 1},
		"left, then the hop ends": {func(n *Node[uint32], r *record) {
			n.Left(0, 7, r)
			n.HopEnded(0, 7, 5, policy.Input{Outcome: policy.TimedOut, Final: true}, r)
		}, 0},
		"an unknown server's verdict is dropped": {func(n *Node[uint32], r *record) {
			if n.HopEnded(0, 7, 6, policy.Input{Outcome: policy.Success, Final: true}, r) {
				t.Error("taken")
			}
		}, 1},
		"the same id again is not taken": {func(n *Node[uint32], r *record) {
			if n.Arrive(0, 7, policy.Input{Budget: time.Second}, r) {
				t.Error("taken")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &record{}
			n := New[uint32](0, settings, 1, r)
			n.List(0, policy.Saved, []Member[uint32]{{Server: 5, Line: policy.Member{Scale: 1}}}, r)
			n.Arrive(0, 7, policy.Input{Budget: time.Second}, r)
			if r.forwards != 1 {
				t.Fatal("not sent")
			}
			c.do(n, r)
			if len(n.ops) != c.held || len(n.slots)-len(n.free) != c.held {
				t.Errorf("%d ids and %d indices held, want %d", len(n.ops), len(n.slots)-len(n.free), c.held)
			}
		})
	}
}
