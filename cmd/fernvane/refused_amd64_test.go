package main

import "golang.org/x/sys/unix"

// forkCalls lists the forbidden system calls that only some architectures have.
var forkCalls = []uint32{unix.SYS_FORK, unix.SYS_VFORK}
