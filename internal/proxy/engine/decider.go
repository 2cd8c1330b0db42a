package engine

import (
	"time"

	"fernvane/policy"
)

// Decider decides for one instance. It is policy.Policy wherever traffic is served; others are compared with it.
type Decider interface {
	Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect
}

// DeciderFactory makes the decider of an instance from its settings and its seed.
type DeciderFactory func(s policy.Settings, seed uint32) Decider

// NewPolicy is the factory of the decider that serves traffic.
func NewPolicy(s policy.Settings, seed uint32) Decider { return policy.New(s, seed) }
