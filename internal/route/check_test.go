package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// told is what the tests' nodes run under: a retriable, a binding and a fingerprinted type.
func testSettings() *settings.Settings {
	t := func(r policy.Idempotency) policy.TrafficType {
		return policy.TrafficType{Idempotency: r, LatencyObjective: 200 * time.Millisecond, ClientTimeout: time.Second, KeyRetention: time.Second, PriorityWeight: 1}
	}
	return &settings.Settings{TypeNames: []string{"check", "book", "print"}, TenantNames: []string{"dairy", "orchards"}, Zones: []string{"north", "south"},
		Settings: policy.Settings{MaxAttempts: 4, HedgingAllowed: true, TrafficTypes: []policy.TrafficType{t(policy.Idempotent), t(policy.NonIdempotent), t(policy.IdempotentWithKey)}}}
}

const one3 = "[[routes]]\nname = \"a\"\ntype = \"check\"\n" // three lines; what a case adds begins in the fourth

// Each file is refused, with the line and the reason of each fault.
func TestBadFiles(t *testing.T) {
	book := strings.Replace(one3, "check", "book", 1)
	route := func(more string) string { return one3 + more + "\n" }
	second := func(more string) string { return "[[routes]]\nname = \"b\"\n" + more + "\n" }
	for name, c := range map[string]struct {
		text string
		want []string // lines of the error, in order; each must hold the words
	}{
		"no TOML":                               {"routes = [", []string{"f:1: "}},
		"an open string":                        {"[[routes]]\nname = \"a", []string{"f:2: "}},
		"not UTF-8":                             {"[[routes]]\nname = \"\xff\"", []string{"f:2: not UTF-8"}},
		"a duplicate table":                     {"[defaults]\nhops = 2\n[defaults]\nrate = 3.0", []string{"f:3: "}},
		"a duplicate key":                       {"[defaults]\nhops = 2\nhops = 3", []string{"f:3: "}},
		"over a megabyte":                       {"# " + strings.Repeat("x", 1<<20), []string{"f: larger than 1048576 bytes"}},
		"an unknown table":                      {"[limits]\nhops = 2", []string{"f:1: unknown key \"limits\""}},
		"an unknown key":                        {route("hop = 3"), []string{"f:4: unknown key \"routes.hop\""}},
		"two unknown keys":                      {route("hop = 3\nretries = 2"), []string{"f:4: unknown key", "f:5: unknown key"}},
		"a word for a number":                   {route("hops = \"two\""), []string{"f:4: "}},
		"two values of the wrong type":          {route("hops = \"two\"\nrate = \"lots\""), []string{"f:4: ", "f:5: "}},
		"a time without a unit":                 {route("hop_time = \"50\""), []string{"f:4: "}},
		"a wrong type and a wrong value":        {route("hops = \"two\"\nrate = 0"), []string{"f:4: ", "f:5: route \"a\", type check: a rate of 0 rejects every request"}},
		"a route without a name":                {"[[routes]]\ntype = \"check\"", []string{"f:1: a route without a name"}},
		"two routes of one name":                {one3 + "[[routes]]\nname = \"a\"\ntype = \"book\"", []string{"f:5: a second route \"a\"; the first is in line 2"}},
		"an unknown type":                       {"[[routes]]\nname = \"a\"\ntype = \"dance\"", []string{"f:3: no traffic type \"dance\": there are check, book, print"}},
		"an unknown type in a path":             {second("path = \"/dance/x\""), []string{"f:3: no traffic type \"dance\""}},
		"an unknown class":                      {route("class = \"dance\""), []string{"f:4: no traffic type \"dance\""}},
		"limits of an unknown class":            {"[class.dance]\nhops = 2", []string{"f:1: no traffic type \"dance\""}},
		"an unknown tenant":                     {route("tenants = [\"nobody\"]"), []string{"f:4: no tenant \"nobody\": there are dairy, orchards"}},
		"an unknown pool":                       {route("pool = \"quick\""), []string{"f:4: route \"a\", type check: no pool \"quick\""}},
		"no method":                             {route("methods = [\"get\"]"), []string{"f:4: \"get\" is no method"}},
		"no header name":                        {route("headers = {\"a b\" = \"1\"}"), []string{"f:4: \"a b\" is no name of a field"}},
		"nine headers":                          {route("headers = {a=\"1\",b=\"1\",c=\"1\",d=\"1\",e=\"1\",f=\"1\",g=\"1\",h=\"1\",i=\"1\"}"), []string{"f:4: 9 headers: 8 at most"}},
		"a path without its slash":              {second("path = \"check/x\""), []string{"f:3: path \"check/x\" does not begin with /"}},
		"an empty part":                         {second("path = \"/check//x\""), []string{"f:3: path \"/check//x\" has an empty part"}},
		"a path of nothing":                     {second("path = \"/\""), []string{"f:3: path \"/\" has no part"}},
		"** in the middle":                      {second("path = \"/check/**/x\""), []string{"f:3: path \"/check/**/x\": ** stands at the end only"}},
		"a star within a part":                  {second("path = \"/check/x*\""), []string{"f:3: path \"/check/x*\": * stands for a whole part"}},
		"a query in a path":                     {second("path = \"/check?x\""), []string{"f:3: path \"/check?x\" has a character"}},
		"a path of 33 parts":                    {second("path = \"/check" + strings.Repeat("/x", 32) + "\""), []string{"f:3: a path of 33 parts"}},
		"a path of another type":                {route("path = \"/book/x\""), []string{"f:4: no path /book/x is of type \"check\""}},
		"the same twice":                        {one3 + second("type = \"check\""), []string{"f:4: route \"b\" and route \"a\" of line 1 fit the same requests"}},
		"the same by path and type":             {one3 + second("path = \"/check/**\""), []string{"f:4: route \"b\" and route \"a\" of line 1"}},
		"one method of two":                     {route("methods = [\"GET\", \"PUT\"]") + second("type = \"check\"\nmethods = [\"PUT\"]"), []string{"f:5: route \"b\" and route \"a\" of line 1"}},
		"one tenant of two":                     {route("tenants = [\"dairy\", \"orchards\"]") + second("type = \"check\"\ntenants = [\"dairy\"]"), []string{"f:5: route \"b\" and route \"a\""}},
		"different headers":                     {route("headers = {x = \"1\"}") + second("type = \"check\"\nheaders = {y = \"1\"}"), []string{"f:5: route \"b\" and route \"a\""}},
		"a target of nothing":                   {route("target = \"0s\""), []string{"f:4: route \"a\", type check: a target of 0s rejects every request"}},
		"a target past the give-up":             {route("target = \"2s\""), []string{"f:4: route \"a\", type check: the target of 2s lies past the client's give-up at 1s"}},
		"a hop of nothing":                      {route("hop_time = \"0s\""), []string{"f:4: route \"a\", type check: an attempt of 0s rejects every request"}},
		"a hop past the give-up":                {route("hop_time = \"1100ms\""), []string{"f:4: route \"a\", type check: an attempt of 1.1s lasts past"}},
		"no hops":                               {route("hops = 0"), []string{"f:4: route \"a\", type check: 0 attempts reject every request"}},
		"more hops than the settings allow":     {route("hops = 5"), []string{"f:4: route \"a\", type check: 5 attempts, but the settings allow 4"}},
		"too many by a class":                   {"[class.check]\nhops = 5\n" + one3, []string{"f:2: route \"a\", type check: 5 attempts"}},
		"too many by default":                   {"[defaults]\nhops = 5\n" + one3, []string{"f:2: route \"a\", type check: 5 attempts"}},
		"further after what":                    {route("further = [\"rain\"]"), []string{"f:4: route \"a\", type check: \"rain\" is none of"}},
		"a binding type after an error":         {book + "further = [\"refused\", \"error\"]", []string{"f:4: route \"a\", type book: a non-idempotent type is never retried after \"error\""}},
		"a binding type after a time-out":       {book + "further = [\"timeout\"]", []string{"f:4: route \"a\", type book: a non-idempotent type is never retried"}},
		"a binding type by default":             {"[defaults]\nfurther = [\"broken\"]\n" + book, []string{"f:2: route \"a\", type book: a non-idempotent type is never retried"}},
		"a retry share below 0":                 {route("retry_share = -0.1"), []string{"f:4: route \"a\", type check: retry_share is -0.1"}},
		"a retry share of nan":                  {route("retry_share = nan"), []string{"f:4: route \"a\", type check: retry_share is NaN"}},
		"a floor of no budget":                  {route("retry_floor = 5"), []string{"f:4: route \"a\", type check: a floor without retry_share"}},
		"nothing at once":                       {route("at_once = 0"), []string{"f:4: route \"a\", type check: at_once of 0 rejects every request"}},
		"waiting for nothing":                   {route("waiting = 5"), []string{"f:4: route \"a\", type check: 5 may wait, but without at_once"}},
		"fewer than none waiting":               {route("at_once = 5\nwaiting = -1"), []string{"f:5: route \"a\", type check: -1 may wait"}},
		"a wait past the give-up":               {route("wait = \"1500ms\""), []string{"f:4: route \"a\", type check: a wait of 1.5s"}},
		"a wait and a hop past the give-up":     {route("hop_time = \"600ms\"\nwait = \"600ms\""), []string{"f:5: route \"a\", type check: a wait of 600ms with an attempt of 600ms"}},
		"a wait below 0":                        {route("wait = \"-1s\""), []string{"f:4: route \"a\", type check: a wait below 0"}},
		"a rate of nothing":                     {route("rate = 0"), []string{"f:4: route \"a\", type check: a rate of 0 rejects every request"}},
		"a rate below 0":                        {route("rate = -3.5"), []string{"f:4: route \"a\", type check: rate is -3.5"}},
		"a burst of nothing":                    {route("rate = 5\nburst = 0"), []string{"f:5: route \"a\", type check: a burst of 0"}},
		"a burst without a rate":                {route("burst = 5"), []string{"f:4: route \"a\", type check: a burst of 5 with no rate"}},
		"a body below 0":                        {route("body_bytes = -1"), []string{"f:4: route \"a\", type check: a body below 0"}},
		"copies of a binding type":              {book + "copy_after = \"50ms\"", []string{"f:4: route \"a\", type book: a non-idempotent type is never hedged"}},
		"copies at once":                        {route("copy_after = \"0s\""), []string{"f:4: route \"a\", type check: a copy after 0s"}},
		"copies past the target":                {route("copy_after = \"200ms\""), []string{"f:4: route \"a\", type check: a copy after 200ms comes past the target"}},
		"copies past the hop":                   {route("hop_time = \"50ms\"\ncopy_after = \"60ms\""), []string{"f:5: route \"a\", type check: a copy after 60ms comes when an attempt of 50ms is over"}},
		"copies of a single hop":                {route("hops = 1\ncopy_after = \"60ms\""), []string{"f:5: route \"a\", type check: a hedged request is a second attempt"}},
		"a share of no copies":                  {route("copy_share = 0.1"), []string{"f:4: route \"a\", type check: a share of hedged requests, but no copy_after"}},
		"more copies than operations":           {route("copy_after = \"60ms\"\ncopy_share = 1.5"), []string{"f:5: route \"a\", type check: copy_share is 1.5"}},
		"revenue of nothing":                    {route("revenue = 0"), []string{"f:4: route \"a\", type check: revenue is 0"}},
		"more kept than is offered":             {route("keep = 1.1"), []string{"f:4: route \"a\", type check: keep is 1.1"}},
		"shares of an unknown tenant":           {route("rate = 5\ntenant_shares = {nobody = 0.5}"), []string{"f:5: route \"a\", type check: no tenant \"nobody\""}},
		"shares that add up to more":            {route("rate = 5\ntenant_shares = {dairy = 0.6, orchards = 0.6}"), []string{"f:5: route \"a\", type check: the shares add up to 1.200"}},
		"a share of 0":                          {route("rate = 5\ntenant_shares = {dairy = 0.0}"), []string{"f:5: route \"a\", type check: the share of \"dairy\" is 0"}},
		"shares of nothing":                     {route("tenant_shares = {dairy = 0.5}"), []string{"f:4: route \"a\", type check: shares of what?"}},
		"no address to listen on":               {"[fastcgi]\nlisten = \"here\"", []string{"f:2: \"here\" is no address with a port"}},
		"FastCGI on an unknown site":            {"[fastcgi]\nsites = [\"moon\"]", []string{"f:2: no site \"moon\""}},
		"a pool without a name":                 {"[[pools]]\nsites = [\"north\"]", []string{"f:1: each pool needs a name of its own"}},
		"two pools of one name":                 {"[[pools]]\nname = \"p\"\nsites = [\"north\"]\n[[pools]]\nname = \"p\"\nsites = [\"south\"]", []string{"f:5: each pool needs"}},
		"a pool of nothing":                     {"[[pools]]\nname = \"p\"", []string{"f:1: pool \"p\" names neither"}},
		"a pool on an unknown site":             {"[[pools]]\nname = \"p\"\nsites = [\"moon\"]", []string{"f:3: no site \"moon\": there are north, south"}},
		"65 pools":                              {strings.Repeat("[[pools]]\nname = \"p\"\nsites = [\"north\"]\n", 65), []string{"each pool needs"}},
		"a fallback to nothing":                 {route("fallback = \"rest\""), []string{"f:4: route \"a\" falls back to \"rest\", which does not exist"}},
		"a fallback to itself":                  {route("fallback = \"a\""), []string{"f:4: the fallbacks go in a circle: a, a"}},
		"a circle of fallbacks":                 {route("fallback = \"b\"") + second("path = \"/check/x\"\nfallback = \"a\""), []string{"f:4: the fallbacks go in a circle: a, b, a", "f:8: the fallbacks go in a circle: b, a, b"}},
		"a fallback for another type":           {route("fallback = \"b\"") + second("type = \"book\""), []string{"f:4: route \"a\" falls back to \"b\", which is not for type check"}},
		"four faults, in the order of the file": {route("hops = 9\nrate = 0\nkeep = 2") + second("type = \"dance\""), []string{"f:4: ", "f:5: ", "f:6: ", "f:9: "}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.text), testSettings())
			if err == nil {
				t.Fatal("taken")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(c.want) == 1 && len(lines) > 1 && strings.Contains(lines[0], "needs a name") {
				lines = lines[:1]
			}
			if len(lines) != len(c.want) {
				t.Fatalf("%d faults, not %d: %s", len(lines), len(c.want), err)
			}
			for i, want := range c.want {
				if !strings.Contains(lines[i], want) {
					t.Errorf("refused with %q, not %q", lines[i], want)
				}
			}
		})
	}
	s := testSettings()
	s.HedgingAllowed = false
	if _, err := Parse("f", []byte(route("copy_after = \"60ms\"")), s); err == nil || !strings.Contains(err.Error(), "f:4: route \"a\", type check: the settings do not allow hedged requests") {
		t.Errorf("copies that the settings bar: %v", err)
	}
}

// What holds for a route: its own limits before its class's before the defaults.
func TestFigures(t *testing.T) {
	set, err := Parse("f", []byte(`
[defaults]
hops = 2
rate = 100.0
[class.check]
hops = 3
hop_time = "80ms"
[[pools]]
name = "near"
sites = ["north"]
[[routes]]
name = "checks"
type = "check"
hop_time = "50ms"
further = ["refused", "timeout"]
copy_after = "40ms"
pool = "near"
keep = 0.25
revenue = 7
[[routes]]
name = "books"
type = "book"
further = []
[[routes]]
name = "old"
path = "/legacy/**"
class = "book"
wait = "0s"
`), testSettings())
	if err != nil {
		t.Fatal(err)
	}
	base := testSettings().TrafficTypes
	checks, books, old := base[0], base[1], base[1]
	checks.AttemptTimeout, checks.MaxAttempts, checks.RetryOn = 50*time.Millisecond, 3, 1<<policy.Overloaded|1<<policy.TimedOut
	checks.HedgeDelay, checks.HedgeRatio, checks.PoolLabels, checks.MaxShedShare, checks.PriorityWeight = 40*time.Millisecond, 0.05, 1, 0.75, 7
	books.MaxAttempts = 1
	old.MaxAttempts, old.MaxQueueTime = 2, time.Nanosecond
	for path, c := range map[string]struct {
		route string
		want  policy.TrafficType
	}{"/check/x": {"checks", checks}, "/book": {"books", books}, "/legacy/a/b": {"old", old}, "/print/x": {"", base[2]}} {
		route, kind := set.Match(&Request{Path: []byte(path)})
		got, name := base[kind], ""
		if route >= 0 {
			name, got = set.Routes[route].Name, set.Profiles[set.Routes[route].profileByType[kind]].Type
		}
		if name != c.route || got != c.want {
			t.Errorf("%s: route %q with %+v", path, name, got)
		}
	}
	var table strings.Builder
	s := testSettings()
	set.PrintTable(&table, s)
	for _, want := range []string{"hops 3 (6)", "hop_time 50ms (14)", "rate 100 (4)", "3 routes"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, table.String())
		}
	}
}

// A file of 10,000 routes with the same figures is one set of figures for the module.
func TestManyRoutesShareFigures(t *testing.T) {
	var b strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&b, "[[routes]]\nname = \"r%d\"\npath = \"/check/p%d\"\nhops = 2\nrate = 5\n", i, i)
	}
	set, err := Parse("f", []byte(b.String()), testSettings())
	if err != nil || len(set.Profiles) != 4 {
		t.Fatalf("%d sets of figures, %v", len(set.Profiles), err)
	}
}
