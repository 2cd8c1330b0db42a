package zookeeper

import (
	"github.com/go-zookeeper/zk"
)

// maxReplyBytes limits the size of one message from the ensemble.
const maxReplyBytes = 1 << 20

// Conn is the subset of a ZooKeeper client that a Reader uses. The methods with the suffix W read and set a watch atomically;
// the returned channel receives the single event of the watch.
type Conn interface {
	ChildrenW(path string) ([]string, *zk.Stat, <-chan zk.Event, error)
	GetW(path string) ([]byte, *zk.Stat, <-chan zk.Event, error)
	Close()
}

// Dial returns a client of the configured ensemble. The client connects and reconnects automatically.
func Dial(c *Config) (Conn, error) {
	conn, _, err := zk.Connect(c.Servers, c.SessionTimeout.Std(), zk.WithLogInfo(false), zk.WithLogger(discardLogger{}),
		zk.WithMaxBufferSize(maxReplyBytes))
	if err == nil && c.Credentials != "" {
		go conn.AddAuth("digest", []byte(c.Credentials)) // blocks until connected; the client repeats it on later connections
	}
	return conn, err
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
