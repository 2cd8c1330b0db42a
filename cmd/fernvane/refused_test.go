package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// installSyscallFilter lets the kernel terminate this process at its first system call that the standing test forbids: exec,
// fork, io_uring, splice and sendfile. Threads are created with clone. clone3 returns ENOSYS, because a filter cannot inspect its
// flags, and the C library then falls back to clone.
func installSyscallFilter() error {
	const (
		nr, archAt, flagsAt = 0, 4, 16 // offsets in seccomp_data; flags are clone's first argument
		load                = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		equal, bits, ret    = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	)
	prog := []unix.SockFilter{{Code: load, K: nr}}
	for _, call := range append([]uint32{unix.SYS_EXECVE, unix.SYS_EXECVEAT, unix.SYS_IO_URING_SETUP, unix.SYS_IO_URING_ENTER,
		unix.SYS_IO_URING_REGISTER, unix.SYS_SPLICE, unix.SYS_TEE, unix.SYS_VMSPLICE, unix.SYS_SENDFILE}, forkCalls...) {
		prog = append(prog, unix.SockFilter{Code: equal, Jf: 1, K: call}, unix.SockFilter{Code: ret, K: unix.SECCOMP_RET_KILL_PROCESS})
	}
	prog = append(prog,
		unix.SockFilter{Code: equal, Jf: 1, K: unix.SYS_CLONE3},
		unix.SockFilter{Code: ret, K: unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS)},
		unix.SockFilter{Code: equal, Jf: 3, K: unix.SYS_CLONE},
		unix.SockFilter{Code: load, K: flagsAt},
		unix.SockFilter{Code: bits, Jt: 1, K: unix.CLONE_THREAD},
		unix.SockFilter{Code: ret, K: unix.SECCOMP_RET_KILL_PROCESS},
		unix.SockFilter{Code: ret, K: unix.SECCOMP_RET_ALLOW})
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	p := unix.SockFprog{Len: uint16(len(prog)), Filter: &prog[0]}
	if _, _, e := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC, uintptr(unsafe.Pointer(&p))); e != 0 {
		return e
	}
	return nil
}

// TestNoForbiddenCalls checks that a node under load makes no system call that the standing test forbids, neither in its own code nor in
// the standard library, where for example io.Copy between sockets uses splice. Such a call terminates the process.
func TestNoForbiddenCalls(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 60<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Write(large)
	}))
	defer server.Close()
	var log bytes.Buffer
	at, cmd, ended := startNode(t, &log, fmt.Sprintf(`{"revision":1,"complete":true,"members":[{"id":"s","host_port":%q,"phase":"SERVING","size":1}]}`,
		server.Listener.Addr()), "FERNVANE_TEST_FORBID=1")
	send := func(method, path string, id int) (status, n int) {
		request, _ := http.NewRequest(method, "http://"+at+path, bytes.NewReader(large))
		request.Header.Set("Request-Id", fmt.Sprint("forbid-", id))
		r, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, 0
		}
		defer r.Body.Close()
		b, _ := io.ReadAll(r.Body)
		return r.StatusCode, len(b)
	}
	for i := range 50 {
		if status, n := send("POST", "/a/b", 2*i+1); status != 200 || n != len(large) {
			t.Fatalf("got status %d with %d bytes, want the server's response", status, n)
		}
		if nc, err := net.Dial("tcp", at); err == nil { // the node responds to a malformed request and reads it to its end
			fmt.Fprintf(nc, "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n%s", large)
			io.Copy(io.Discard, nc)
			nc.Close()
		}
	}
	cmd.Process.Signal(syscall.SIGHUP)
	send("POST", "/a/b", 0)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("node exited with %v, want success\n%s", err, log.String())
	}
}

// TestForbiddenCallsEnd checks that the filter terminates a process that starts another one. Without it TestNoForbiddenCalls
// could not fail.
func TestForbiddenCallsEnd(t *testing.T) {
	cmd := exec.Command(os.Args[0], "exec")
	cmd.Env = append(os.Environ(), "FERNVANE_TEST_COMMAND=1", "FERNVANE_TEST_FORBID=1")
	cmd.Run()
	if st, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || st.Signal() != syscall.SIGSYS {
		t.Errorf("process exited with %v, want SIGSYS", cmd.ProcessState)
	}
}
