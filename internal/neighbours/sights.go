package neighbours

// sight is how a watched node is seen.
type sight uint8

const (
	hearing sight = iota
	asking        // it is silent, and its other watchers are asked
	cut           // they hear it: the way between is cut, or passes one way only
	blamed        // nobody hears it: it is suspected
	sights
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

type deed uint8

const (
	nothing deed = iota
	askOthers
	suspect
)

// watching is the way of a watched node: what follows from each event in each sight.
var watching = [sights][events]struct {
	next sight
	do   deed
}{
	hearing: {heard: {hearing, nothing}, silence: {asking, askOthers}, vouched: {hearing, nothing}, nobody: {hearing, nothing}, refuted: {hearing, nothing}, again: {hearing, nothing}},
	asking:  {heard: {hearing, nothing}, silence: {asking, nothing}, vouched: {cut, nothing}, nobody: {blamed, suspect}, refuted: {asking, nothing}, again: {asking, nothing}},
	cut:     {heard: {hearing, nothing}, silence: {cut, nothing}, vouched: {cut, nothing}, nobody: {cut, nothing}, refuted: {cut, nothing}, again: {asking, askOthers}},
	blamed:  {heard: {hearing, nothing}, silence: {blamed, nothing}, vouched: {cut, nothing}, nobody: {blamed, nothing}, refuted: {cut, nothing}, again: {asking, askOthers}},
}
