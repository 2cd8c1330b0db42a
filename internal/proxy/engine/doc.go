// Package engine stands between one instance of the decisions (package policy) and whoever carries them out: it
// translates the caller's ids of requests and servers to the dense indices that the policy wants, and back.
//
// The dispatcher of a node, the simulator's adapter and tests hold an Engine each. They call one method for each input,
// with the time of their own clock, and the Engine calls the EffectHandler for each effect before the method returns,
// in the order of the effects. An Engine has no lock: its caller makes one call at a time, and an EffectHandler must
// not call back.
package engine
