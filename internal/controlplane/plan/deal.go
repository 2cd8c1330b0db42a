package plan

import (
	"cmp"
	"math"
	"slices"
)

const (
	partLeast    = 6    // servers of a part: one is ejected, one is slow, and two are left
	holdersMin   = 3.0  // forwarders that hold a server, on the mean
	inFlightPart = 2.0  // servers of a part for each hop out, so that most hops find one idle
	movesShare   = 0.02 // of all places in parts may move with one plan, beside those that must
	overload     = 1.3  // times its due from which places are moved away from a server
	underload    = 0.8  // and to it
	fitRounds    = 15   // of proportional fitting
	shareLeast   = 0.01 // of the largest of a part; less is none
	rateLeast    = 0.1  // hops a second that a forwarder without traffic counts as
)

// cell is one forwarder's share of one server.
type cell struct {
	server int
	share  float64
}

// grid is who uses what. Rows are forwarders in the order of their names, columns servers in that of their ids.
type grid struct {
	servers  []string
	weight   []float64 // of the servers; 0: to be left alone
	demand   []float64 // of the forwarders, hops a second
	inFlight []float64
	parts    [][]cell // sorted by server
	load     []float64
}

// add takes in a forwarder with what it holds now, so that a plan goes on from there whoever made the one before.
func (g *grid) add(f *forwarder) {
	var part []cell
	for i, id := range g.servers {
		if share, ok := f.held[id]; ok && g.weight[i] > 0 {
			part = append(part, cell{i, share})
		}
	}
	g.parts = append(g.parts, part)
	g.demand = append(g.demand, max(f.rate, rateLeast))
	g.inFlight = append(g.inFlight, f.inFlight)
}

// due is what a server should get: its weight's part of all demand.
func (g *grid) due(s int, demand, weights float64) float64 {
	return max(demand*g.weight[s]/max(weights, 1e-9), 1e-9)
}

// dealing is what one deal works with.
type dealing struct {
	*grid
	size      []int   // servers that each forwarder is to have
	allDemand float64 // of the forwarders, hops a second
	weights   float64 // of all servers
}

// deal gives each forwarder its number of servers, with as few moves as will do. Each place is counted as an even part of
// its forwarder's demand; the shares are fitted afterwards.
func (g *grid) deal() {
	d := dealing{grid: g}
	usable := 0
	for _, w := range g.weight {
		if d.weights += w; w > 0 {
			usable++
		}
	}
	for _, demand := range g.demand {
		d.allDemand += demand
	}
	if usable == 0 || len(g.parts) == 0 {
		return
	}
	places := d.fitSizes(usable)
	g.load = make([]float64, len(g.servers))
	for i := range g.parts {
		for _, c := range g.parts[i] {
			g.load[c.server] += g.demand[i] / float64(d.size[i])
		}
	}
	d.shrink()
	d.grow()
	g.level(int(math.Ceil(movesShare*float64(places))), d.ratio, d.put, d.take)
	for i := range g.parts {
		slices.SortFunc(g.parts[i], func(a, b cell) int { return cmp.Compare(a.server, b.server) })
	}
}

// fitSizes sets how many servers each forwarder is to have, and returns the sum.
func (d *dealing) fitSizes(usable int) (places int) {
	d.size = make([]int, len(d.parts))
	for i := range d.parts {
		d.size[i] = partLeast + int(math.Ceil(inFlightPart*d.inFlight[i]))
		d.size[i] = min(max(d.size[i], int(math.Ceil(holdersMin*float64(usable)/float64(len(d.parts))))), usable)
		places += d.size[i]
	}
	return places
}

// put gives a forwarder a server.
func (d *dealing) put(i, s int) {
	d.parts[i] = append(d.parts[i], cell{server: s})
	d.load[s] += d.demand[i] / float64(d.size[i])
}

// take takes from a forwarder the server at a place of its part.
func (d *dealing) take(i, at int) {
	d.load[d.parts[i][at].server] -= d.demand[i] / float64(d.size[i])
	d.parts[i] = slices.Delete(d.parts[i], at, at+1)
}

// ratio is a server's load over what is due to it.
func (d *dealing) ratio(s int) float64 { return d.load[s] / d.due(s, d.allDemand, d.weights) }

// shrink takes what is too much from the servers that are loaded most; one more than needed may stay.
func (d *dealing) shrink() {
	for i := range d.parts {
		for len(d.parts[i]) > d.size[i]+1 {
			worst := 0
			for at := range d.parts[i] {
				if d.ratio(d.parts[i][at].server) > d.ratio(d.parts[i][worst].server) {
					worst = at
				}
			}
			d.take(i, worst)
		}
	}
}

// grow gives the first places of all before the second ones, so that early names do not take the best.
func (d *dealing) grow() {
	for more := true; more; {
		more = false
		for i := range d.parts {
			if len(d.parts[i]) < d.size[i] {
				if s := d.least(i); s >= 0 {
					d.put(i, s)
					more = true
				}
			}
		}
	}
}

// least is the server with the smallest ratio that a forwarder does not have; -1 for none.
func (d *dealing) least(i int) int {
	best := -1
	for s, w := range d.weight {
		if w > 0 && (best < 0 || d.ratio(s) < d.ratio(best)) && !holds(d.parts[i], s) {
			best = s
		}
	}
	return best
}

// level moves places from servers that have too much to those that have too little, a few with each plan.
func (g *grid) level(moves int, ratio func(int) float64, put, take func(i, s int)) {
	for from := 0; moves > 0; moves-- {
		most, least := -1, -1
		for s, w := range g.weight {
			if w <= 0 {
				continue
			}
			if most < 0 || ratio(s) > ratio(most) {
				most = s
			}
			if least < 0 || ratio(s) < ratio(least) {
				least = s
			}
		}
		if most < 0 || ratio(most) < overload || ratio(least) > underload {
			return
		}
		moved := false
		for n := range g.parts { // on from the last one, so that no forwarder is moved round alone
			i := (from + n) % len(g.parts)
			at := slices.IndexFunc(g.parts[i], func(c cell) bool { return c.server == most })
			if at >= 0 && !holds(g.parts[i], least) {
				take(i, at)
				put(i, least)
				from, moved = i+1, true
				break
			}
		}
		if !moved {
			return
		}
	}
}

func holds(part []cell, s int) bool {
	return slices.ContainsFunc(part, func(c cell) bool { return c.server == s })
}

// fit sets the shares within the parts so that each server gets its due as nearly as the parts allow: rows add up to 1,
// columns to the dues, by proportional fitting.
func (g *grid) fit() {
	demand, weights := 0.0, 0.0
	for _, d := range g.demand {
		demand += d
	}
	for _, w := range g.weight {
		weights += w
	}
	for i := range g.parts {
		for c := range g.parts[i] {
			g.parts[i][c].share = g.weight[g.parts[i][c].server] // an even start, whatever it held
		}
		g.row(i)
	}
	for range fitRounds {
		got := make([]float64, len(g.servers))
		for i, part := range g.parts {
			for _, c := range part {
				got[c.server] += c.share * g.demand[i]
			}
		}
		for i := range g.parts {
			for c := range g.parts[i] {
				s := g.parts[i][c].server
				g.parts[i][c].share *= g.due(s, demand, weights) / max(got[s], 1e-9)
			}
			g.row(i)
		}
	}
	for i := range g.parts {
		most := 0.0
		for _, c := range g.parts[i] {
			most = max(most, c.share)
		}
		g.parts[i] = slices.DeleteFunc(g.parts[i], func(c cell) bool { return c.share < shareLeast*most })
		g.row(i)
	}
}

// row makes a forwarder's shares add up to 1.
func (g *grid) row(i int) {
	sum := 0.0
	for _, c := range g.parts[i] {
		sum += c.share
	}
	for c := range g.parts[i] {
		if sum > 0 {
			g.parts[i][c].share /= sum
		} else {
			g.parts[i][c].share = 1 / float64(len(g.parts[i]))
		}
	}
}
