package client

import (
	"errors"
	"maps"
	"slices"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const maxRejections = 64 // per message and per status

// rejections maps the keys of rejected entries to their rejections.
type rejections map[distribution.Key]rejection

// rejection is the reason for which an entry was rejected by the store or the applier.
type rejection struct {
	version  distribution.Entry // stored entry without its value; zero if none is stored
	reason   string
	isLogged bool
}

// first returns the first maxRejections rejections in key order.
func (r rejections) first() (all []distribution.Rejection) {
	keys := slices.SortedFunc(maps.Keys(r), distribution.CompareKeys)
	for _, k := range keys[:min(len(keys), maxRejections)] {
		all = append(all, distribution.Rejection{Key: k, Reason: r[k].reason})
	}
	return all
}

// addRejections records entries that were rejected by the store or the applier. The caller holds c.mu.
func (c *Client) addRejections(rejected []distribution.Rejection) {
	for _, r := range rejected {
		next := rejection{reason: wire.TruncateText(r.Reason)}
		if stored, ok := c.store.Entry(r.Key); ok {
			stored.Value = nil
			next.version = stored
		}
		if before, ok := c.rejections[r.Key]; ok && before.reason == next.reason && distribution.Compare(before.version, next.version) == 0 {
			next.isLogged = before.isLogged
		}
		c.rejections[r.Key] = next
	}
}

// replaceRejections replaces all rejections of some kinds, after all entries of these kinds were applied.
func (c *Client) replaceRejections(rejected []distribution.Rejection, kinds ...distribution.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isRejected := map[distribution.Key]bool{}
	for _, r := range rejected {
		isRejected[r.Key] = true
	}
	maps.DeleteFunc(c.rejections, func(k distribution.Key, _ rejection) bool { return slices.Contains(kinds, k.Kind) && !isRejected[k] })
	c.addRejections(rejected)
}

// logRejections logs each rejected entry that was not logged before.
func (c *Client) logRejections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range slices.SortedFunc(maps.Keys(c.rejections), distribution.CompareKeys) {
		r := c.rejections[k]
		if r.isLogged {
			continue
		}
		r.isLogged = true
		c.rejections[k] = r
		c.log.Error().Err(errors.New(r.reason)).Stringer("entry", k).Msg("distribution: entry rejected, previous version stays in effect")
	}
}

// unreportedRejections returns the changes since the rejections last reported to the control process, and marks them as reported.
// A rejection without a reason withdraws an earlier one.
func (l *link) unreportedRejections(current rejections) (unreported []distribution.Rejection) {
	for k := range l.reportedRejections {
		if _, isRejected := current[k]; !isRejected && len(unreported) < maxRejections {
			unreported = append(unreported, distribution.Rejection{Key: k})
			delete(l.reportedRejections, k)
		}
	}
	for _, r := range current.first() {
		if l.reportedRejections[r.Key] != r.Reason && len(unreported) < maxRejections {
			unreported = append(unreported, r)
			l.reportedRejections[r.Key] = r.Reason
		}
	}
	return wire.TruncateRejections(unreported)
}
