package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"fernvane/internal/testbed/scenario"
)

// Streams of random numbers. Each attribute has its own, so that a change of one leaves the others as they were.
const (
	arrivalStream = iota + 1
	typeStream
	tenantStream
	siteStream
	keyStream
	workStream
	disconnectStream
	hotKeyStream = keyStream + 100
)

// stream returns the random numbers of a stream for the scenario's seed.
func stream(s *scenario.Scenario, which uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, which))
}

// attributeDraws draws the attributes of requests in order of the schedule.
type attributeDraws struct {
	types       *rand.Rand
	tenants     *rand.Rand
	sites       *rand.Rand
	hotKeys     *rand.Rand
	work        *rand.Rand
	disconnects *rand.Rand

	typeShares   []float64 // cumulative
	tenantShares []float64 // cumulative
	siteShares   []float64 // cumulative
	keys         zipf
}

// newAttributeDraws returns the draws of a scenario at the start of their streams.
func newAttributeDraws(s *scenario.Scenario) *attributeDraws {
	return &attributeDraws{
		types:        stream(s, typeStream),
		tenants:      stream(s, tenantStream),
		sites:        stream(s, siteStream),
		hotKeys:      stream(s, hotKeyStream),
		work:         stream(s, workStream),
		disconnects:  stream(s, disconnectStream),
		typeShares:   cumulate(len(s.Types), func(i int) float64 { return s.Types[i].Share }),
		tenantShares: cumulate(len(s.Tenants), func(i int) float64 { return s.Tenants[i].Share }),
		siteShares:   cumulate(len(s.Sites), func(i int) float64 { return siteShare(s, i) }),
		keys:         newZipf(s.Load.Keys, s.Load.Zipf, stream(s, keyStream)),
	}
}

// siteShare returns the share of clients at a site: Skew goes to the first, the rest to all alike.
func siteShare(s *scenario.Scenario, site int) float64 {
	share := (1 - s.Load.Skew) / float64(len(s.Sites))
	if site == 0 {
		share += s.Load.Skew
	}
	return share
}

// draw sets the attributes of a request, each from one draw whatever its use, so that a fault changes nothing else.
func (d *attributeDraws) draw(s *scenario.Scenario, r *Request) {
	r.Type = pick(d.typeShares, d.types.Float64())
	r.Tenant = pick(d.tenantShares, d.tenants.Float64())
	r.Site = pick(d.siteShares, d.sites.Float64())
	r.Key = d.keys.draw()
	chance := d.hotKeys.Float64()
	for _, fault := range s.Faults {
		if fault.Kind == "hot-key" && r.At >= fault.At.Std() && r.At < fault.End() && chance < fault.Share {
			r.Key = s.Load.Keys + 1
		}
	}
	r.Work = drawWork(&s.Types[r.Type], d.work)
	r.Disconnects = d.disconnects.Float64() < s.Clients.DisconnectShare
}

// drawWork draws a service time of the type's distribution.
func drawWork(t *scenario.Type, r *rand.Rand) time.Duration {
	mean := float64(t.Work)
	switch t.WorkDistribution {
	case "exp":
		return time.Duration(mean * r.ExpFloat64())
	case "lognormal":
		v := math.Log(1 + t.VariationCoefficient*t.VariationCoefficient)
		return time.Duration(mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2))
	}
	return time.Duration(mean)
}

// cumulate returns the running sums of n shares.
func cumulate(n int, share func(int) float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += share(i)
		sums[i] = sum
	}
	return sums
}

// pick returns the place of a chance in [0, 1) among cumulative shares, -1 if there are none.
func pick(sums []float64, chance float64) int {
	i := sort.SearchFloat64s(sums, chance)
	return min(i, len(sums)-1)
}

// zipf draws keys from 1 to n, the k-th in proportion to k to the power of -s.
type zipf struct {
	sums []float64 // cumulative
	r    *rand.Rand
}

func newZipf(n int, s float64, r *rand.Rand) zipf {
	z := zipf{r: r, sums: cumulate(n, func(i int) float64 { return math.Pow(float64(i+1), -s) })}
	if n > 0 {
		total := z.sums[n-1]
		for i := range z.sums {
			z.sums[i] /= total
		}
	}
	return z
}

// draw returns a key, 0 if there are none.
func (z zipf) draw() int {
	if len(z.sums) == 0 {
		return 0
	}
	return pick(z.sums, z.r.Float64()) + 1
}
