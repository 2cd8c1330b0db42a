package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// testSettings returns settings with an idempotent, a non-idempotent and an idempotent-with-key traffic type.
func testSettings() *settings.Settings {
	trafficType := func(idempotency policy.Idempotency) policy.TrafficType {
		return policy.TrafficType{Idempotency: idempotency, LatencyObjective: 200 * time.Millisecond, ClientTimeout: time.Second, KeyRetention: time.Second, PriorityWeight: 1}
	}
	return &settings.Settings{TypeNames: []string{"check", "book", "print"}, TenantNames: []string{"dairy", "orchards"}, Zones: []string{"north", "south"},
		Settings: policy.Settings{MaxAttempts: 4, HedgingAllowed: true, TrafficTypes: []policy.TrafficType{trafficType(policy.Idempotent), trafficType(policy.NonIdempotent), trafficType(policy.IdempotentWithKey)}}}
}

const threeLines = "[[routes]]\nname = \"a\"\ntype = \"check\"\n" // three lines, so that the text of a case starts in line 4

// TestBadFiles checks that each file is rejected with the line and the reason of every fault.
func TestBadFiles(t *testing.T) {
	book := strings.Replace(threeLines, "check", "book", 1)
	route := func(more string) string { return threeLines + more + "\n" }
	second := func(more string) string { return "[[routes]]\nname = \"b\"\n" + more + "\n" }
	for name, c := range map[string]struct {
		text string
		want []string // substrings of the lines of the error, in order
	}{
		"invalid TOML":                                           {"routes = [", []string{"f:1: "}},
		"unterminated string":                                    {"[[routes]]\nname = \"a", []string{"f:2: "}},
		"not UTF-8":                                              {"[[routes]]\nname = \"\xff\"", []string{"f:2: not UTF-8"}},
		"a duplicate table":                                      {"[defaults]\nhops = 2\n[defaults]\nrate = 3.0", []string{"f:3: "}},
		"a duplicate key":                                        {"[defaults]\nhops = 2\nhops = 3", []string{"f:3: "}},
		"larger than 1 MiB":                                      {"# " + strings.Repeat("x", 1<<20), []string{"f: larger than 1048576 bytes"}},
		"an unknown table":                                       {"[limits]\nhops = 2", []string{"f:1: unknown key \"limits\""}},
		"an unknown key":                                         {route("hop = 3"), []string{"f:4: unknown key \"routes.hop\""}},
		"two unknown keys":                                       {route("hop = 3\nretries = 2"), []string{"f:4: unknown key", "f:5: unknown key"}},
		"string for a number":                                    {route("hops = \"two\""), []string{"f:4: "}},
		"two values of the wrong type":                           {route("hops = \"two\"\nrate = \"lots\""), []string{"f:4: ", "f:5: "}},
		"a time without a unit":                                  {route("hop_time = \"50\""), []string{"f:4: "}},
		"a wrong type and a wrong value":                         {route("hops = \"two\"\nrate = 0"), []string{"f:4: ", "f:5: route \"a\", type check: rate is 0, must be above 0"}},
		"a route without a name":                                 {"[[routes]]\ntype = \"check\"", []string{"f:1: route has no name"}},
		"two routes of one name":                                 {threeLines + "[[routes]]\nname = \"a\"\ntype = \"book\"", []string{"f:5: duplicate route \"a\", first defined in line 2"}},
		"an unknown type":                                        {"[[routes]]\nname = \"a\"\ntype = \"dance\"", []string{"f:3: no traffic type \"dance\": there are check, book, print"}},
		"an unknown type in a path":                              {second("path = \"/dance/x\""), []string{"f:3: no traffic type \"dance\""}},
		"an unknown class":                                       {route("class = \"dance\""), []string{"f:4: no traffic type \"dance\""}},
		"a class for requests that must not run twice":           {second("path = \"/book/**\"\nclass = \"check\""), []string{"f:4: route \"b\" assigns type check to requests of type book"}},
		"a class for some requests that must not run twice":      {second("path = \"/book/x\"\nmethods = [\"PUT\"]\nclass = \"check\""), []string{"f:5: route \"b\" assigns type check to requests of type book"}},
		"a class for requests of all types":                      {second("path = \"/**\"\nclass = \"check\""), []string{"f:4: route \"b\" assigns type check to requests of type book", "f:4: route \"b\" assigns type check to requests of type print"}},
		"a class without a path":                                 {second("class = \"check\""), []string{"f:3: route \"b\" assigns type check to requests of type book", "f:3: route \"b\" assigns type check to requests of type print"}},
		"a class for any first segment":                          {second("path = \"/*/x\"\nclass = \"print\""), []string{"f:4: route \"b\" assigns type print to requests of type book"}},
		"a class, and a route for some requests of another type": {second("class = \"print\"") + "[[routes]]\nname = \"c\"\ntype = \"book\"\nmethods = [\"PUT\"]", []string{"f:3: route \"b\" assigns type print to requests of type book"}},
		"limits of an unknown class":                             {"[class.dance]\nhops = 2", []string{"f:1: no traffic type \"dance\""}},
		"an unknown tenant":                                      {route("tenants = [\"nobody\"]"), []string{"f:4: unknown tenant \"nobody\": known tenants are dairy, orchards"}},
		"an unknown pool":                                        {route("pool = \"quick\""), []string{"f:4: route \"a\", type check: unknown pool \"quick\""}},
		"no method":                                              {route("methods = [\"get\"]"), []string{"f:4: invalid method \"get\""}},
		"no header name":                                         {route("headers = {\"a b\" = \"1\"}"), []string{"f:4: invalid header name \"a b\""}},
		"nine headers":                                           {route("headers = {a=\"1\",b=\"1\",c=\"1\",d=\"1\",e=\"1\",f=\"1\",g=\"1\",h=\"1\",i=\"1\"}"), []string{"f:4: 9 headers, at most 8 allowed"}},
		"a path without its slash":                               {second("path = \"check/x\""), []string{"f:3: path \"check/x\" does not begin with /"}},
		"an empty part":                                          {second("path = \"/check//x\""), []string{"f:3: path \"/check//x\" has an empty segment"}},
		"path of / alone":                                        {second("path = \"/\""), []string{"f:3: path \"/\" has no segment"}},
		"** in the middle":                                       {second("path = \"/check/**/x\""), []string{"f:3: path \"/check/**/x\": ** is allowed only as the last segment"}},
		"a star within a part":                                   {second("path = \"/check/x*\""), []string{"f:3: path \"/check/x*\": * must be a whole segment"}},
		"a query in a path":                                      {second("path = \"/check?x\""), []string{"f:3: path \"/check?x\" contains a space, a line break, ? or #"}},
		"path has 33 segments":                                   {second("path = \"/check" + strings.Repeat("/x", 32) + "\""), []string{"f:3: path has 33 segments"}},
		"a path of another type":                                 {route("path = \"/book/x\""), []string{"f:4: path /book/x does not match type \"check\""}},
		"same path twice":                                        {threeLines + second("type = \"check\""), []string{"f:4: route \"b\" and route \"a\" (line 1) match the same requests"}},
		"same path, given by path and by type":                   {threeLines + second("path = \"/check/**\""), []string{"f:4: route \"b\" and route \"a\" (line 1)"}},
		"one method of two":                                      {route("methods = [\"GET\", \"PUT\"]") + second("type = \"check\"\nmethods = [\"PUT\"]"), []string{"f:5: route \"b\" and route \"a\" (line 1)"}},
		"one tenant of two":                                      {route("tenants = [\"dairy\", \"orchards\"]") + second("type = \"check\"\ntenants = [\"dairy\"]"), []string{"f:5: route \"b\" and route \"a\""}},
		"different headers":                                      {route("headers = {x = \"1\"}") + second("type = \"check\"\nheaders = {y = \"1\"}"), []string{"f:5: route \"b\" and route \"a\""}},
		"target of 0":                                            {route("target = \"0s\""), []string{"f:4: route \"a\", type check: target is 0s, must be above 0"}},
		"target beyond the client timeout":                       {route("target = \"2s\""), []string{"f:4: route \"a\", type check: target of 2s exceeds the client timeout of 1s"}},
		"hop_time of 0":                                          {route("hop_time = \"0s\""), []string{"f:4: route \"a\", type check: hop_time is 0s, must be above 0"}},
		"hop_time beyond the client timeout":                     {route("hop_time = \"1100ms\""), []string{"f:4: route \"a\", type check: hop_time of 1.1s exceeds the client timeout"}},
		"no hops":                                                {route("hops = 0"), []string{"f:4: route \"a\", type check: hops is 0, must be at least 1"}},
		"more hops than the settings allow":                      {route("hops = 5"), []string{"f:4: route \"a\", type check: 5 attempts, but the settings allow 4"}},
		"too many hops by a class":                               {"[class.check]\nhops = 5\n" + threeLines, []string{"f:2: route \"a\", type check: 5 attempts"}},
		"too many hops by defaults":                              {"[defaults]\nhops = 5\n" + threeLines, []string{"f:2: route \"a\", type check: 5 attempts"}},
		"unknown outcome":                                        {route("further = [\"rain\"]"), []string{"f:4: route \"a\", type check: unknown outcome \"rain\": broken, error"}},
		"non-idempotent type, retry after error":                 {book + "further = [\"refused\", \"error\"]", []string{"f:4: route \"a\", type book: non-idempotent type cannot be retried after \"error\""}},
		"non-idempotent type, retry after timeout":               {book + "further = [\"timeout\"]", []string{"f:4: route \"a\", type book: non-idempotent type cannot be retried"}},
		"non-idempotent type, retry by defaults":                 {"[defaults]\nfurther = [\"broken\"]\n" + book, []string{"f:2: route \"a\", type book: non-idempotent type cannot be retried"}},
		"a retry share below 0":                                  {route("retry_share = -0.1"), []string{"f:4: route \"a\", type check: retry_share is -0.1"}},
		"a retry share of nan":                                   {route("retry_share = nan"), []string{"f:4: route \"a\", type check: retry_share is NaN"}},
		"retry_floor without retry_share":                        {route("retry_floor = 5"), []string{"f:4: route \"a\", type check: retry_floor requires retry_share"}},
		"at_once of 0":                                           {route("at_once = 0"), []string{"f:4: route \"a\", type check: at_once is 0, must be at least 1"}},
		"waiting without at_once":                                {route("waiting = 5"), []string{"f:4: route \"a\", type check: waiting is 5: must be at least 0, and requires at_once"}},
		"negative waiting":                                       {route("at_once = 5\nwaiting = -1"), []string{"f:5: route \"a\", type check: waiting is -1"}},
		"wait beyond the client timeout":                         {route("wait = \"1500ms\""), []string{"f:4: route \"a\", type check: wait of 1.5s"}},
		"wait plus hop_time beyond the client timeout":           {route("hop_time = \"600ms\"\nwait = \"600ms\""), []string{"f:5: route \"a\", type check: wait of 600ms plus hop_time of 600ms"}},
		"a wait below 0":                                         {route("wait = \"-1s\""), []string{"f:4: route \"a\", type check: wait is below 0"}},
		"rate of 0":                                              {route("rate = 0"), []string{"f:4: route \"a\", type check: rate is 0, must be above 0"}},
		"a rate below 0":                                         {route("rate = -3.5"), []string{"f:4: route \"a\", type check: rate is -3.5"}},
		"burst of 0":                                             {route("rate = 5\nburst = 0"), []string{"f:5: route \"a\", type check: burst is 0"}},
		"a burst without a rate":                                 {route("burst = 5"), []string{"f:4: route \"a\", type check: burst is 5: must be at least 1, and requires rate"}},
		"a body below 0":                                         {route("body_bytes = -1"), []string{"f:4: route \"a\", type check: body_bytes is below 0"}},
		"hedging of a non-idempotent type":                       {book + "copy_after = \"50ms\"", []string{"f:4: route \"a\", type book: non-idempotent type cannot be hedged"}},
		"copy_after of 0":                                        {route("copy_after = \"0s\""), []string{"f:4: route \"a\", type check: copy_after is 0s, must be above 0"}},
		"copy_after beyond the target":                           {route("copy_after = \"200ms\""), []string{"f:4: route \"a\", type check: copy_after of 200ms is not below the target"}},
		"copy_after beyond hop_time":                             {route("hop_time = \"50ms\"\ncopy_after = \"60ms\""), []string{"f:5: route \"a\", type check: copy_after of 60ms is not below the hop_time of 50ms"}},
		"copy_after with one attempt":                            {route("hops = 1\ncopy_after = \"60ms\""), []string{"f:5: route \"a\", type check: hedging requires 2 attempts"}},
		"copy_share without copy_after":                          {route("copy_share = 0.1"), []string{"f:4: route \"a\", type check: copy_share requires copy_after"}},
		"copy_share above 1":                                     {route("copy_after = \"60ms\"\ncopy_share = 1.5"), []string{"f:5: route \"a\", type check: copy_share is 1.5"}},
		"revenue of 0":                                           {route("revenue = 0"), []string{"f:4: route \"a\", type check: revenue is 0"}},
		"keep above 1":                                           {route("keep = 1.1"), []string{"f:4: route \"a\", type check: keep is 1.1"}},
		"shares of an unknown tenant":                            {route("rate = 5\ntenant_shares = {nobody = 0.5}"), []string{"f:5: route \"a\", type check: unknown tenant \"nobody\""}},
		"tenant shares above 1 in total":                         {route("rate = 5\ntenant_shares = {dairy = 0.6, orchards = 0.6}"), []string{"f:5: route \"a\", type check: shares add up to 1.200"}},
		"a share of 0":                                           {route("rate = 5\ntenant_shares = {dairy = 0.0}"), []string{"f:5: route \"a\", type check: share of \"dairy\" is 0"}},
		"tenant shares without rate and at_once":                 {route("tenant_shares = {dairy = 0.5}"), []string{"f:4: route \"a\", type check: tenant_shares requires rate or at_once"}},
		"no address to listen on":                                {"[fastcgi]\nlisten = \"here\"", []string{"f:2: listen address \"here\" is invalid"}},
		"FastCGI on an unknown site":                             {"[fastcgi]\nsites = [\"moon\"]", []string{"f:2: unknown site \"moon\""}},
		"a pool without a name":                                  {"[[pools]]\nsites = [\"north\"]", []string{"f:1: pool name is missing or already in use"}},
		"two pools of one name":                                  {"[[pools]]\nname = \"p\"\nsites = [\"north\"]\n[[pools]]\nname = \"p\"\nsites = [\"south\"]", []string{"f:5: pool name is missing or already in use"}},
		"pool without servers":                                   {"[[pools]]\nname = \"p\"", []string{"f:1: pool \"p\" sets none of"}},
		"a pool on an unknown site":                              {"[[pools]]\nname = \"p\"\nsites = [\"moon\"]", []string{"f:3: unknown site \"moon\": known sites are north, south"}},
		"65 pools":                                               {strings.Repeat("[[pools]]\nname = \"p\"\nsites = [\"north\"]\n", 65), []string{"pool name is missing or already in use"}},
		"a fallback to nothing":                                  {route("fallback = \"rest\""), []string{"f:4: route \"a\" falls back to \"rest\", which does not exist"}},
		"a fallback to itself":                                   {route("fallback = \"a\""), []string{"f:4: fallbacks form a cycle: a, a"}},
		"cycle of fallbacks":                                     {route("fallback = \"b\"") + second("path = \"/check/x\"\nfallback = \"a\""), []string{"f:4: fallbacks form a cycle: a, b, a", "f:8: fallbacks form a cycle: b, a, b"}},
		"a fallback for another type":                            {route("fallback = \"b\"") + second("type = \"book\""), []string{"f:4: route \"a\" falls back to \"b\", which does not serve type check"}},
		"four faults, in the order of the file":                  {route("hops = 9\nrate = 0\nkeep = 2") + second("type = \"dance\""), []string{"f:4: ", "f:5: ", "f:6: ", "f:9: "}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.text), testSettings())
			if err == nil {
				t.Fatal("got no error, want faults")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(c.want) == 1 && len(lines) > 1 && strings.Contains(lines[0], "pool name is missing") {
				lines = lines[:1]
			}
			if len(lines) != len(c.want) {
				t.Fatalf("got %d faults, want %d: %s", len(lines), len(c.want), err)
			}
			for i, want := range c.want {
				if !strings.Contains(lines[i], want) {
					t.Errorf("got fault %q, want it to contain %q", lines[i], want)
				}
			}
		})
	}
	s := testSettings()
	s.HedgingAllowed = false
	if _, err := Parse("f", []byte(route("copy_after = \"60ms\"")), s); err == nil || !strings.Contains(err.Error(), "f:4: route \"a\", type check: settings do not allow hedged requests") {
		t.Errorf("copy_after although settings do not allow hedged requests: got %v", err)
	}
}

// TestClassOfOtherTypes checks which classes a route may assign to requests whose path names another type: none under which they would be
// repeated more freely.
func TestClassOfOtherTypes(t *testing.T) {
	const classForAll = "[[routes]]\nname = \"b\"\npath = \"/**\"\nclass = \"check\"\n"
	routeOf := func(trafficType, more string) string {
		return fmt.Sprintf("[[routes]]\nname = %q\n%s\n", trafficType, more)
	}
	keyed := func(scope policy.KeyScope, retention time.Duration) policy.TrafficType {
		return policy.TrafficType{Idempotency: policy.IdempotentWithKey, KeyScope: scope, KeyRetention: retention, LatencyObjective: time.Second, ClientTimeout: time.Second}
	}
	book := keyed(policy.KeyScopeZone, 5*time.Second)
	for name, c := range map[string]struct {
		text     string
		check    policy.TrafficType // type assigned
		book     policy.TrafficType // type that the path names
		isUsable bool
	}{
		"same scope and retention":    {classForAll, keyed(policy.KeyScopeZone, 5*time.Second), book, true},
		"shorter retention":           {classForAll, keyed(policy.KeyScopeZone, time.Second), book, true},
		"longer retention":            {classForAll, keyed(policy.KeyScopeZone, 6*time.Second), book, false},
		"wider scope":                 {classForAll, keyed(policy.KeyScopeAll, 5*time.Second), book, false},
		"scope not within the other":  {classForAll, keyed(policy.KeyScopeCell, 5*time.Second), book, false},
		"scope within that of all":    {classForAll, keyed(policy.KeyScopeCell, 5*time.Second), keyed(policy.KeyScopeAll, 5*time.Second), true},
		"non-idempotent":              {classForAll, policy.TrafficType{Idempotency: policy.NonIdempotent, LatencyObjective: time.Second, ClientTimeout: time.Second}, book, true},
		"route for the other type":    {classForAll + routeOf("book", "type = \"book\""), keyed(policy.KeyScopeAll, 5*time.Second), book, true},
		"route for its path":          {classForAll + routeOf("book", "path = \"/book/**\""), keyed(policy.KeyScopeAll, 5*time.Second), book, true},
		"route for part of its paths": {classForAll + routeOf("book", "path = \"/book/*\""), keyed(policy.KeyScopeAll, 5*time.Second), book, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &settings.Settings{TypeNames: []string{"check", "book"}, Settings: policy.Settings{MaxAttempts: 4, TrafficTypes: []policy.TrafficType{c.check, c.book}}}
			if _, err := Parse("f", []byte(c.text), s); (err == nil) != c.isUsable {
				t.Errorf("got %v, want a usable file: %v", err, c.isUsable)
			}
		})
	}
}

// TestLimitPrecedence checks that limits of a route override those of its class, which override the defaults.
func TestLimitPrecedence(t *testing.T) {
	routes, err := Parse("f", []byte(`
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
		route, kind := routes.Match(&Request{Path: []byte(path)})
		got, name := base[kind], ""
		if route >= 0 {
			name, got = routes.Routes[route].Name, routes.Profiles[routes.Routes[route].profileByType[kind]].Type
		}
		if name != c.route || got != c.want {
			t.Errorf("%s: got route %q with %+v, want the route and limits of the case", path, name, got)
		}
	}
	var printed strings.Builder
	s := testSettings()
	routes.PrintTable(&printed, s)
	for _, want := range []string{"hops 3 (6)", "hop_time 50ms (14)", "rate 100 (4)", "3 routes"} {
		if !strings.Contains(printed.String(), want) {
			t.Errorf("table lacks %q:\n%s", want, printed.String())
		}
	}
}

// TestManyRoutesShareProfile checks that 5,000 routes with the same limits add a single profile to the three of the settings.
func TestManyRoutesShareProfile(t *testing.T) {
	var b strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&b, "[[routes]]\nname = \"r%d\"\npath = \"/check/p%d\"\nhops = 2\nrate = 5\n", i, i)
	}
	table, err := Parse("f", []byte(b.String()), testSettings())
	if err != nil || len(table.Profiles) != 4 {
		t.Fatalf("got %d profiles, want 4; error %v", len(table.Profiles), err)
	}
}
