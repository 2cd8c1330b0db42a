package main

import (
	"strings"
	"testing"
)

const env = `env={"groupSize":2,"granularity":5,"later":{"x":1},"limits":{"mostHops":3,"secondCopies":true},"rules":{"cold":5000},` +
	`"trafficTypes":[{"idempotency":"safe","targetTime":400,"abandonTime":900,"revenue":1}]}`

func start(instance string) string {
	return "target_instance\twho=" + instance + "\npower_on\tentropy=5\t" + env + "\n"
}

const (
	list   = "manifest\tlist=0\tentries=1\nentry\tserver=9\tcondition=up\tscale=1\nmanifest\tlist=0\tentries=1\nentry\tserver=8\tcondition=up\n"
	saved  = "discovery\tscope=SAVED\tindex=1\tlist=0\n"
	arrive = "arrival\tjob=00000000000000aa\tservice=0\ttimeBudget=900\tnew=1\n"
)

// placed is a list of servers in two zones and of two machine kinds. drain is an update that drains one of them.
const (
	placed = "manifest\tlist=0\tentries=3\nentry\tserver=9\thall=0\tclassOfHost=1\tcondition=up\n" +
		"entry\tserver=8\thall=1\tclassOfHost=1\tcondition=up\nentry\tserver=7\thall=0\tclassOfHost=2\tcondition=up\n"
	drain = "manifest\tlist=1\tentries=1\nentry\tserver=8\thall=1\tclassOfHost=1\tcondition=draining\n" +
		"discovery\tscope=INCREMENTAL\tindex=2\tlist=1\n"
)

// startWith starts an instance with additional keys in the traffic type and the rules of its settings.
func startWith(trafficType, rules string) string {
	text := strings.Replace(start("3"), `"idempotency"`, trafficType+`,"idempotency"`, 1)
	return strings.Replace(text, `"cold":5000`, rules+`"cold":5000`, 1)
}

func batch(endpoints string) string { return "batch\tnow=1000.5\n" + endpoints + "eof_batch\n\n" }

// TestRun checks the replies and the warnings for batches, valid and invalid.
func TestRun(t *testing.T) {
	for name, c := range map[string]struct {
		in, want, unwanted, wantErr, wantFailure string
	}{
		"an empty batch":           {in: batch(""), want: "eor\n"},
		"a list number reused":     {in: batch(start("3") + list + saved + arrive), want: "forward\tjob=00000000000000aa\tserver=8\tallowFor="},
		"two instances":            {in: batch(start("3") + list + saved + start("4") + saved + "target_instance\twho=3\n" + arrive), want: "from\twho=3\nforward"},
		"killed and started again": {in: batch(start("3") + list + saved + arrive + "killed\n" + start("3") + saved + arrive), want: "forward\tjob=00000000000000aa\tserver=8"},
		"a broken number":          {in: batch(start("3") + "arrival\tjob=00000000000000aa\ttimeBudget=x\n" + list + saved), want: "eor\n", wantErr: "timeBudget: expected a time in ms"},
		"an unknown message":       {in: batch(start("3") + "surprise\ta=b\n"), want: "eor\n", wantErr: "unknown message"},
		"an unknown request":       {in: batch(start("3") + list + saved + "verdict\tjob=00000000000000ab\tserver=8\tverdict=success\n"), want: "eor\n", wantErr: "unknown request or server"},
		"an instance not started":  {in: batch("target_instance\twho=6\n" + arrive), want: "eor\n", wantErr: "instance 6 not running"},
		"a stream begins and ends": {in: batch(start("3")+list+saved+arrive+"begun\tjob=00000000000000aa\tn=0\tserver=8\tspent=1\n") +
			batch("target_instance\twho=3\nverdict\tjob=00000000000000aa\tn=0\tserver=8\tverdict=broken\tfinal=1\n"), want: "eor\nfrom\twho=3\neor\n"},
		"unknown request left":            {in: batch(start("3") + "left\tjob=00000000000000ab\n"), want: "eor\n"},
		"an unknown type":                 {in: batch(start("3") + list + saved + "arrival\tjob=00000000000000aa\tservice=7\ttimeBudget=900\n"), want: "turn_away\tjob=00000000000000aa"},
		"unreadable settings":             {in: batch("target_instance\twho=3\npower_on\tentropy=5\tenv={\n"), want: "broken\tmessage=settings cannot be read"},
		"settings without types":          {in: batch("target_instance\twho=3\npower_on\tentropy=5\tenv={\"limits\":{\"mostHops\":1}}\n"), want: "broken\tmessage=settings name no traffic types"},
		"end in mid-batch":                {in: "batch\tnow=1\ntarget_instance\twho=3\n", wantFailure: "truncated inside a batch"},
		"end in mid-line":                 {in: "batch\tno", wantFailure: "truncated inside a batch"},
		"a type bound to a zone":          {in: batch(startWith(`"dcsOnly":[1]`, "") + placed + saved + arrive), want: "forward\tjob=00000000000000aa\tserver=8\t"},
		"a type bound to a machine kind":  {in: batch(startWith(`"allowedOn":[2]`, "") + placed + saved + arrive), want: "forward\tjob=00000000000000aa\tserver=7\t"},
		"bound to a zone without servers": {in: batch(startWith(`"dcsOnly":[5]`, "") + placed + saved + arrive), want: "eor\n", unwanted: "forward"},
		"a zone that is no number":        {in: batch(startWith(`"dcsOnly":[{}]`, "")), want: "broken\tmessage=traffic type 0: dcsOnly"},
		"a drain notice":                  {in: batch(startWith(`"dcsOnly":[1]`, `"drainClose":300,`) + placed + saved + arrive + drain), want: "release\tserver=8"},
		"a drain notice without a time":   {in: batch(startWith(`"dcsOnly":[1]`, "") + placed + saved + drain), want: "eor\n", unwanted: "release"},
		"a time below 0":                  {in: batch(startWith(`"dcsOnly":[1]`, `"drainClose":-1,`)), want: "broken\tmessage=rules.drainClose is -1"},
		"a batch of megabytes":            {in: batch(start("3") + list + saved + strings.Repeat("left\tjob=00000000000000ab\tpad="+strings.Repeat("x", 1000)+"\n", 3000)), want: "eor\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, stderr strings.Builder
			err := run(strings.NewReader(c.in), &out, &stderr)
			if c.wantFailure != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantFailure) {
					t.Errorf("got error %v, want %q in it", err, c.wantFailure)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out.String(), c.want) || !strings.HasSuffix(out.String(), "eor\n") {
				t.Errorf("got reply %q, want %q in it, and eor as its last line", out.String(), c.want)
			}
			if c.unwanted != "" && strings.Contains(out.String(), c.unwanted) {
				t.Errorf("got reply %q, want no %q in it", out.String(), c.unwanted)
			}
			if c.wantErr == "" && stderr.Len() > 0 || !strings.Contains(stderr.String(), c.wantErr) {
				t.Errorf("got warnings %q, want %q in them, or none if empty", stderr.String(), c.wantErr)
			}
		})
	}
}
