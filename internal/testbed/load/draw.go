package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"fernvane/internal/testbed/scenario"
)

// Random number streams. Each attribute uses its own stream, so that changing the settings of one attribute does not
// change the others.
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

// stream returns the random number generator of a stream, seeded by the scenario.
func stream(s *scenario.Scenario, id uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, id))
}

// attributeDrawer draws the attributes of requests in the order of the schedule.
type attributeDrawer struct {
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

// newAttributeDrawer returns a drawer for a scenario, at the start of its streams.
func newAttributeDrawer(s *scenario.Scenario) *attributeDrawer {
	return &attributeDrawer{
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

// siteShare returns the share of clients at a site: the first site gets Load.Skew, and the rest is divided evenly among all
// sites.
func siteShare(s *scenario.Scenario, site int) float64 {
	share := (1 - s.Load.Skew) / float64(len(s.Sites))
	if site == 0 {
		share += s.Load.Skew
	}
	return share
}

// draw sets the attributes of a request. It always takes one number from each stream, even if the number is not used, so
// that a fault does not change the attributes of other requests.
func (d *attributeDrawer) draw(s *scenario.Scenario, r *Request) {
	r.Type = pick(d.typeShares, d.types.Float64())
	r.Tenant = pick(d.tenantShares, d.tenants.Float64())
	r.Site = pick(d.siteShares, d.sites.Float64())
	r.Key = d.keys.draw()
	hotKeyDraw := d.hotKeys.Float64()
	for _, fault := range s.Faults {
		if fault.Kind == "hot-key" && r.At >= fault.At.Std() && r.At < fault.End() && hotKeyDraw < fault.Share {
			r.Key = s.Load.Keys + 1
		}
	}
	r.Work = drawWork(&s.Types[r.Type], d.work)
	r.Disconnects = d.disconnects.Float64() < s.Clients.DisconnectShare
}

// drawWork draws a service time from the type's distribution.
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

// pick returns the index in the cumulative shares that a uniform random number in [0, 1) selects, -1 if there are none.
func pick(sums []float64, uniform float64) int {
	i := sort.SearchFloat64s(sums, uniform)
	return min(i, len(sums)-1)
}

// zipf draws keys from 1 to n. The probability of key k is proportional to k to the power of -s.
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

// draw returns the next key, 0 if there are no keys.
func (z zipf) draw() int {
	if len(z.sums) == 0 {
		return 0
	}
	return pick(z.sums, z.r.Float64()) + 1
}
