package plan

import (
	"cmp"
	"math"
	"slices"
)

const (
	partLeast  = 6    // servers of a part: one rests, one is slow, and two are left
	holdersMin = 3.0  // forwarders that hold a server, on the mean
	flyingPart = 2.0  // servers of a part for each hop out, so that most hops find one idle
	movesShare = 0.02 // of all places in parts may move with one plan, beside those that must
	overload   = 1.3  // times its due from which places are moved away from a server
	underload  = 0.8  // and to it
	fitRounds  = 15   // of proportional fitting
	shareLeast = 0.01 // of the largest of a part; less is none
	rateLeast  = 0.1  // hops a second that a forwarder without traffic counts as
)

// cell is one forwarder's share of one server.
type cell struct {
	server int
	share  float64
}

// grid is who uses what. Rows are forwarders in the order of their names, columns servers in that of their ids.
type grid struct {
	servers []string
	weight  []float64 // of the servers; 0: to be left alone
	demand  []float64 // of the forwarders, hops a second
	flying  []float64
	parts   [][]cell // sorted by server
	load    []float64
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
	g.flying = append(g.flying, f.flying)
}

// due is what a server should get: its weight's part of all demand.
func (g *grid) due(s int, demand, weights float64) float64 {
	return max(demand*g.weight[s]/max(weights, 1e-9), 1e-9)
}

// deal gives each forwarder its number of servers, with as few moves as will do. Each place is counted as an even part of
// its forwarder's demand; the shares are fitted afterwards.
func (g *grid) deal() {
	usable, demand, weights := 0, 0.0, 0.0
	for _, w := range g.weight {
		if weights += w; w > 0 {
			usable++
		}
	}
	for _, d := range g.demand {
		demand += d
	}
	if usable == 0 || len(g.parts) == 0 {
		return
	}
	size := make([]int, len(g.parts))
	places := 0
	for i := range g.parts {
		size[i] = partLeast + int(math.Ceil(flyingPart*g.flying[i]))
		size[i] = min(max(size[i], int(math.Ceil(holdersMin*float64(usable)/float64(len(g.parts))))), usable)
		places += size[i]
	}
	g.load = make([]float64, len(g.servers))
	put := func(i, s int) {
		g.parts[i] = append(g.parts[i], cell{server: s})
		g.load[s] += g.demand[i] / float64(size[i])
	}
	take := func(i, at int) {
		g.load[g.parts[i][at].server] -= g.demand[i] / float64(size[i])
		g.parts[i] = slices.Delete(g.parts[i], at, at+1)
	}
	ratio := func(s int) float64 { return g.load[s] / g.due(s, demand, weights) }
	for i := range g.parts {
		for _, c := range g.parts[i] {
			g.load[c.server] += g.demand[i] / float64(size[i])
		}
	}
	// What is too much goes from the servers that are loaded most, one more than needed may stay.
	for i := range g.parts {
		for len(g.parts[i]) > size[i]+1 {
			worst := 0
			for at := range g.parts[i] {
				if ratio(g.parts[i][at].server) > ratio(g.parts[i][worst].server) {
					worst = at
				}
			}
			take(i, worst)
		}
	}
	least := func(i int) int {
		best := -1
		for s, w := range g.weight {
			if w > 0 && (best < 0 || ratio(s) < ratio(best)) && !holds(g.parts[i], s) {
				best = s
			}
		}
		return best
	}
	// The first places of all before the second ones, so that early names do not take the best.
	for more := true; more; {
		more = false
		for i := range g.parts {
			if len(g.parts[i]) < size[i] {
				if s := least(i); s >= 0 {
					put(i, s)
					more = true
				}
			}
		}
	}
	g.level(int(math.Ceil(movesShare*float64(places))), ratio, put, take)
	for i := range g.parts {
		slices.SortFunc(g.parts[i], func(a, b cell) int { return cmp.Compare(a.server, b.server) })
	}
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
