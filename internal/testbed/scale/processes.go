package scale

import (
	"fmt"
	"os"
	"strings"
)

// usage is the resource usage of a process or of all processes of a role.
type usage struct {
	CPU    float64 // seconds so far
	Memory float64 // bytes that are not shared with other processes
}

const ticksPerS = 100 // unit of CPU times in /proc: USER_HZ is 100 on all platforms of Go

// usageOf reads the usage of a process from /proc. It is zero for a process that has ended.
func usageOf(pid int) (u usage) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	// The second field is a name in parentheses, which may contain spaces and parentheses.
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
		var total, resident, shared float64
		fmt.Sscan(string(statm), &total, &resident, &shared)
		u.Memory = (resident - shared) * float64(os.Getpagesize())
	}
	return u
}
