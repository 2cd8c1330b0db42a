package wal

import (
	"io"
	"os"
	"path/filepath"
	"time"
)

// FileSystem is the storage of a journal. OSFileSystem is the operating system's; tests use a file system that injects
// faults.
type FileSystem interface {
	// Create creates a file for appending. The error is os.ErrExist if the file already exists.
	Create(path string) (File, error)
	// Open opens a file for reading.
	Open(path string) (io.ReadCloser, error)
	// List returns the regular files of a directory in unspecified order.
	List(dir string) ([]FileInfo, error)
	// Remove deletes a file.
	Remove(path string) error
	// Rename renames a file within its directory and replaces an existing file of the new name.
	Rename(path, to string) error
	// SyncDir syncs the directory's entries, so that created and renamed files survive a crash of the machine.
	SyncDir(dir string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes all written data survive a crash of the machine.
	Sync() error
}

// FileInfo describes a file of a directory.
type FileInfo struct {
	Name    string
	Size    int64
	ModTime time.Time
}

// OSFileSystem is the operating system's file system.
type OSFileSystem struct{}

// Create creates a file for appending, readable only by its owner. It fails if the file exists.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Open opens a file for reading.
func (OSFileSystem) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// List returns the regular files of a directory, sorted by name. It omits files that are removed while it runs.
func (OSFileSystem) List(dir string) ([]FileInfo, error) {
	entries, err := os.ReadDir(dir)
	var files []FileInfo
	for _, e := range entries {
		if i, err := e.Info(); err == nil && i.Mode().IsRegular() {
			files = append(files, FileInfo{Name: i.Name(), Size: i.Size(), ModTime: i.ModTime()})
		}
	}
	return files, err
}

// Remove deletes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// Rename renames a file and replaces an existing file of the new name.
func (OSFileSystem) Rename(path, to string) error { return os.Rename(path, to) }

// SyncDir syncs the directory's entries to disk.
func (OSFileSystem) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
