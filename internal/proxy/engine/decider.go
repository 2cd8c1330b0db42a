package engine

import (
	"time"

	"fernvane/policy"
)

// Decider makes the decisions of one instance. policy.Policy is the Decider that serves traffic; other implementations
// exist for comparison with it.
type Decider interface {
	Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect
}

// DeciderFactory creates the Decider of an instance from its settings and its random seed.
type DeciderFactory func(s policy.Settings, seed uint32) Decider

// NewPolicy is the DeciderFactory of policy.Policy, the Decider that serves traffic.
func NewPolicy(s policy.Settings, seed uint32) Decider { return policy.New(s, seed) }
