package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// TestReloadAsItStarts guards against signals that arrive before the node installs its handlers and terminate the process. A
// SIGHUP during the first read of the configuration must cause a second read, and a following SIGTERM a regular exit.
func TestReloadAsItStarts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := ln.Addr()
	ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "serve", "--config", path)
	cmd.Env = append(os.Environ(), "FERNVANE_TEST_COMMAND=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for i := range 2 { // the second read is that of the reload
		f, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the node opens the file
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := errors.Join(os.Remove(path), syscall.Mkfifo(path, 0o600), cmd.Process.Signal(syscall.SIGHUP)); err != nil {
				t.Fatal(err)
			}
		}
		fmt.Fprintf(f, `{"listen":"%s","discovery":"127.0.0.1:1","settings":{"limits":{"mostHops":2},"trafficTypes":
			[{"name":"a","targetTime":5,"abandonTime":50,"idempotency":"safe"}]}}`, at)
		f.Close()
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("node exited with %v, want success", err)
	}
}
