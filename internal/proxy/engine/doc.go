// Package engine connects one instance of the decision module (package policy) to the code that executes its decisions.
// It translates the caller's request and server IDs to the dense indices that the decision module uses, and back.
//
// The dispatcher of a node, the simulator's adapter and tests each own an Engine. They call one method per input, with
// the time of their own clock. The Engine calls the EffectHandler once per effect, in order, before the method returns.
// An Engine is not safe for concurrent use, and an EffectHandler must not call the Engine.
package engine
