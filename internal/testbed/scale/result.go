package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is a run, as it is kept.
type Result struct {
	Command   string    `json:"command"`
	At        time.Time `json:"at"`
	Machine   Machine   `json:"machine"`
	Size      Size      `json:"size"`
	Processes int       `json:"processes"`
	Memory    float64   `json:"memory_bytes"` // the most of all processes together
	Shared    []string  `json:"shared"`
	Phases    []Phase   `json:"phases"`
	Faults    []string  `json:"faults,omitempty"`
}

// Phase is one part of a run.
type Phase struct {
	Name          string          `json:"name"`
	Seconds       float64         `json:"seconds"`
	Roles         map[string]Role `json:"roles"`
	ChangeLatency *ChangeLatency  `json:"in_force,omitempty"`
	// Returned is how long nodes that were killed took, from their start on, until they knew all servers.
	RestartLatency *ChangeLatency `json:"returned,omitempty"`
	Handed         deliveryCounts `json:"handed"` // to the nodes' modules, of all nodes
}

// Role is what all of one role paid together.
type Role struct {
	Members     int     `json:"members"`
	BytesIn     float64 `json:"bytes_in_per_s"`
	BytesOut    float64 `json:"bytes_out_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	MessagesOut float64 `json:"messages_out_per_s"`
	CPU         float64 `json:"cpu_per_s"`
	Memory      float64 `json:"memory_bytes"`
}

// InForce is how long changes took until nodes went by them.
type ChangeLatency struct {
	Changes int     `json:"changes"`
	Applied int     `json:"taken"` // by nodes, over all changes
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Last    float64 `json:"last_ms"`
	Missing int     `json:"missing"` // not taken by nodes that were up all along when the phase ended
	Down    int     `json:"down"`    // by nodes that were down meanwhile: left out of the times
}

func newChangeLatency(changes, missing, down int, took []time.Duration) *ChangeLatency {
	f := &ChangeLatency{Changes: changes, Applied: len(took), Missing: missing, Down: down}
	if len(took) == 0 {
		return f
	}
	slices.Sort(took)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	at := func(share float64) float64 { return ms(took[min(int(share*float64(len(took))), len(took)-1)]) }
	f.P50, f.P99, f.Last = at(0.5), at(0.99), ms(took[len(took)-1])
	return f
}

// Save writes a result.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Text prints a result.
func (r *Result) Text(w io.Writer) error {
	s := &r.Size
	fmt.Fprintf(w, "%d nodes, %d servers in %d services, %d routes, %d tenants, plane %s, %d control processes; %d processes, %.2f GB at most; load before %.1f on %d cores\n",
		s.Nodes, s.Servers, s.Services, s.Routes, s.Tenants, s.Plane, s.Control, r.Processes, r.Memory/1e9, r.Machine.Load, r.Machine.Cores)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\trole\tmembers\tB/s in\tB/s out\tmessages/s in\tout\tCPU s/s\tMB each\t")
	for _, p := range r.Phases {
		names := []string{}
		for name := range p.Roles {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			o := p.Roles[name]
			fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%.3f\t%.2f\t\n", p.Name, name, o.Members, o.BytesIn, o.BytesOut, o.MessagesIn,
				o.MessagesOut, o.CPU, o.Memory/float64(max(o.Members, 1))/1e6)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range r.Phases {
		if f := p.ChangeLatency; f != nil {
			fmt.Fprintf(w, "%s: %d changes in force after %.0f ms (p50), %.0f (p99), %.0f (last node); %d not taken, %d apart of nodes that were down\n",
				p.Name, f.Changes, f.P50, f.P99, f.Last, f.Missing, f.Down)
		}
		if f := p.RestartLatency; f != nil {
			fmt.Fprintf(w, "%s: killed nodes knew all servers %.0f ms (p50), %.0f (p99), %.0f (last) after their start; %d did not\n",
				p.Name, f.P50, f.P99, f.Last, f.Missing)
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "fault:", f)
	}
	return nil
}
