package scale

import (
	"fmt"
	"os"
	"strings"
)

// usage of the machine by one process, or by all of a role.
type usage struct {
	CPU    float64 // seconds so far
	Memory float64 // bytes that it shares with no other process
}

const ticksPerS = 100 // of the times in /proc, on all machines that Go runs on

// usageOf reads what a process has used; one that has ended counts for nothing.
func usageOf(pid int) (u usage) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	// The second field is a name in brackets, which may hold anything.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12
	if len(fields) > system {
		var ticks [2]float64
		fmt.Sscan(fields[user], &ticks[0])
		fmt.Sscan(fields[system], &ticks[1])
		u.CPU = (ticks[0] + ticks[1]) / ticksPerS
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err == nil {
		var whole, resident, shared float64
		fmt.Sscan(string(statm), &whole, &resident, &shared)
		u.Memory = (resident - shared) * float64(os.Getpagesize())
	}
	return u
}
