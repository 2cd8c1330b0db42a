package hostile

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"
	"time"
)

// regularClientVar is the environment variable that makes the test binary run as a regular client of the address that it names.
const regularClientVar = "HOSTILE_REGULAR_CLIENT"

const requestPause = 20 * time.Millisecond

// regularClient sends one request after another on its own connection. It runs in a process of its own, so that the misbehaving clients of the
// test do not delay it.
type regularClient struct {
	Sent       int
	Rejected   int // answered with another status than 200
	Unanswered int // no answer in time
	Slowest    time.Duration
	LastError  string // of an unanswered request
}

func (r *regularClient) String() string {
	text := fmt.Sprintf("%d regular requests, %d rejected, %d unanswered, slowest %s", r.Sent, r.Rejected, r.Unanswered, r.Slowest)
	if r.LastError != "" {
		text += ", last error: " + r.LastError
	}
	return text
}

// runRegularClient sends requests to an HTTP listener until the standard input ends, and prints the result.
func runRegularClient(at string) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		io.Copy(io.Discard, os.Stdin)
	}()
	client := &httpClient{at: at}
	result := &regularClient{}
	for {
		result.send(client)
		select {
		case <-ended:
			json.NewEncoder(os.Stdout).Encode(result)
			return
		case <-time.After(requestPause):
		}
	}
}

func (r *regularClient) send(client *httpClient) {
	r.Sent++
	began := time.Now()
	status, err := client.get(fmt.Sprintf("/check/%d", r.Sent), fmt.Sprintf("regular-%d", r.Sent))
	took := time.Since(began)
	r.Slowest = max(r.Slowest, took)
	switch {
	case err != nil:
		r.Unanswered++
		r.LastError = fmt.Sprintf("request %d after %s: %v", r.Sent, took, err)
	case status != 200:
		r.Rejected++
	}
}

// runBesideRegular runs misbehaving clients while a regular client sends requests to an HTTP listener.
func runBesideRegular(t *testing.T, at string, run func()) *regularClient {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), regularClientVar+"="+at)
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	run()
	input.Close()
	result := &regularClient{}
	if err := json.NewDecoder(output).Decode(result); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	return result
}
