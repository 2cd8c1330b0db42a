package hostile

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const startTimeout = 20 * time.Second // until a process accepts connections

var long = flag.Bool("long", false, "let misbehaving clients run for a minute in each case, which takes an hour")

const longTime = time.Minute

// runTime returns how long misbehaving clients run in a test.
func runTime(short time.Duration) time.Duration {
	if *long {
		return longTime
	}
	return short
}

// program is the path of the product's binary, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	if at := os.Getenv(regularClientVar); at != "" {
		runRegularClient(at)
		return
	}
	flag.Parse()
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "fernvane")
	if output, err := exec.Command("go", "build", "-o", program, "fernvane/cmd/fernvane").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// process is a process of the product. It is killed at the end of the test.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
}

// startProcess starts the product with arguments and returns when it accepts connections at all addresses.
func startProcess(t *testing.T, args []string, addresses ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(program, args...), logPath: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
	})
	for _, at := range addresses {
		p.awaitListener(at)
	}
	return p
}

func (p *process) awaitListener(at string) {
	p.t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if c, err := dialTCP(at); err == nil {
			c.Close()
			return
		}
	}
	p.t.Fatalf("no connection accepted at %s, log: %s", at, p.log())
}

func (p *process) log() []byte {
	text, _ := os.ReadFile(p.logPath)
	return text
}

var peakLine = regexp.MustCompile(`VmHWM:\s*([0-9]+) kB`)

// peakMB returns the largest resident memory that the process has had, in MiB.
func (p *process) peakMB() float64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("process has ended: %v, end of its log: %s", err, p.lastLines(20))
	}
	found := peakLine.FindSubmatch(status)
	if found == nil {
		p.t.Fatalf("no peak of memory in the status of the process, end of its log: %s", p.lastLines(20))
	}
	kilobytes, _ := strconv.ParseFloat(string(found[1]), 64)
	return kilobytes / 1024
}

// descriptors returns the number of open file descriptors of the process.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

func (p *process) lastLines(n int) string {
	lines := bytes.Split(bytes.TrimSpace(p.log()), []byte("\n"))
	var text strings.Builder
	for _, line := range lines[max(len(lines)-n, 0):] {
		text.Write(line)
		text.WriteByte('\n')
	}
	return text.String()
}
