package membership

// state is how a watched node is seen.
type state uint8

const (
	hearing state = iota
	asking        // it is silent, and its other watchers are asked
	cut           // they hear it: the way between is cut, or passes one way only
	blamed        // nobody hears it: it is suspected
	states
)

type event uint8

const (
	heard   event = iota
	silence       // nothing came for silentAfter
	vouched       // another watcher hears it
	nobody        // the time to answer is over, and none does
	refuted       // it lives by its own word, though this node does not hear it
	again         // it is time to ask anew
	events
)

type action uint8

const (
	nothing action = iota
	askOthers
	suspect
)

// transitions say what follows from each event in each state of a watched node.
var transitions = [states][events]struct {
	next state
	do   action
}{
	hearing: {heard: {hearing, nothing}, silence: {asking, askOthers}, vouched: {hearing, nothing}, nobody: {hearing, nothing}, refuted: {hearing, nothing}, again: {hearing, nothing}},
	asking:  {heard: {hearing, nothing}, silence: {asking, nothing}, vouched: {cut, nothing}, nobody: {blamed, suspect}, refuted: {asking, nothing}, again: {asking, nothing}},
	cut:     {heard: {hearing, nothing}, silence: {cut, nothing}, vouched: {cut, nothing}, nobody: {cut, nothing}, refuted: {cut, nothing}, again: {asking, askOthers}},
	blamed:  {heard: {hearing, nothing}, silence: {blamed, nothing}, vouched: {cut, nothing}, nobody: {blamed, nothing}, refuted: {cut, nothing}, again: {asking, askOthers}},
}
