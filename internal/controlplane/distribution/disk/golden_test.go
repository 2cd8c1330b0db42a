package disk

import (
	"bytes"
	"compress/gzip"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"fernvane/internal/controlplane/distribution"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for a new file format")

// goldenFile is the compressed golden file, goldenTables its tables as text.
const (
	goldenFile   = "testdata/format1.db.gz"
	goldenTables = "testdata/format1.txt"
)

// golden is the content of the golden file. Its vectors have a single origin because the stored order of map entries is not fixed.
var golden = Loaded{
	Origin:  "root/00000000000000a1",
	IsClean: true,
	Entries: []distribution.Entry{
		{Key: distribution.Key{Service: "", Kind: distribution.KindTenant, Name: "big"}, Clock: 1700000000001 << 16, Origin: "root/00000000000000a1",
			Sequence: 1, Value: []byte("a tenant")},
		{Key: distribution.Key{Service: "trams", Kind: distribution.KindPool, Name: "old"}, Clock: 1700000000003<<16 | 5, Origin: "relay/00000000000000b2",
			Sequence: 3, Deleted: true},
		{Key: distribution.Key{Service: "ferries", Kind: distribution.KindRoute, Name: "checks"}, Clock: 1700000000002 << 16, Origin: "root/00000000000000a1",
			Sequence: 2, Value: []byte("a route")},
	},
	Vector: distribution.Vector{"root/00000000000000a1": 2},
	Pruned: distribution.Vector{"relay/00000000000000b2": 1},
}

// writeGolden writes a file with the content of golden.
func writeGolden(t *testing.T, path string) {
	t.Helper()
	d, _, err := Open(path, Options{WriteInterval: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	d.SetOrigin(golden.Origin)
	d.Save(golden.Entries, nil, golden.Vector)
	d.Prune([]distribution.Key{{Service: "ferries", Kind: distribution.KindRoute, Name: "never stored"}}, golden.Pruned)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := d.Close(ctx); err != nil {
		t.Fatal(err)
	}
}

// tables returns the buckets of a file as text, with one line per key in stored order.
func tables(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var text strings.Builder
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, keys *bbolt.Bucket) error {
			return keys.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(&text, "%s %q %x\n", bucket, key, value)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// TestGoldenFileIsRead checks that a stored file of format 1 still loads.
func TestGoldenFileIsRead(t *testing.T) {
	if *update {
		packGolden(t)
	}
	path := unpackGolden(t)
	_, loaded, err := openForTest(t, path)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(loaded, golden) {
		t.Errorf("got content\n%+v, want\n%+v", loaded, golden)
	}
}

// TestGoldenFileIsWritten writes the same content and compares the tables, since the layout of pages in the file is not fixed.
func TestGoldenFileIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	writeGolden(t, path)
	written := tables(t, path)
	if *update {
		if err := os.WriteFile(goldenTables, []byte(written), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(goldenTables)
	if err != nil {
		t.Fatal(err)
	}
	if written != string(text) {
		t.Errorf("got tables\n%swant\n%s", written, text)
	}
	if stored := tables(t, unpackGolden(t)); stored != string(text) {
		t.Errorf("golden file: got tables\n%swant\n%s", stored, text)
	}
}

// openForTest opens a file and closes it at the end of the test.
func openForTest(t *testing.T, path string) (*Disk, Loaded, error) {
	t.Helper()
	d, loaded, err := Open(path, Options{WriteInterval: time.Millisecond})
	if err == nil {
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if err := d.Close(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return d, loaded, err
}

// unpackGolden decompresses the golden file into a temporary directory and returns its path.
func unpackGolden(t *testing.T) string {
	t.Helper()
	packed, err := os.Open(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	r, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	file, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "entries.db")
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// packGolden rewrites the golden file.
func packGolden(t *testing.T) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entries.db")
	writeGolden(t, path)
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	w.Write(file)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
