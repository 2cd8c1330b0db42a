package wal

import (
	"io"
	"os"
	"path/filepath"
	"time"
)

// FileSystem is the disk beneath a journal. OS is the real one; tests put one in its place that fails as told.
type FileSystem interface {
	// Create makes a file that was not there before; os.ErrExist where it was.
	Create(path string) (File, error)
	Open(path string) (io.ReadCloser, error)
	List(dir string) ([]FileInfo, error)
	Remove(path string) error
	// Rename gives a file another name in its folder, in place of one that has it.
	Rename(path, to string) error
	// SyncDir makes the folder's own entries last.
	SyncDir(dir string) error
}

// File is one that is written.
type File interface {
	io.WriteCloser
	Sync() error
}

// FileInfo is what a folder tells of a file.
type FileInfo struct {
	Name    string
	Size    int64
	ModTime time.Time
}

// OSFileSystem is the system's disk.
type OSFileSystem struct{}

// Create makes a file.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Open reads one.
func (OSFileSystem) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// List tells of the files in a folder, by name.
func (OSFileSystem) List(dir string) ([]FileInfo, error) {
	entries, err := os.ReadDir(dir)
	var all []FileInfo
	for _, e := range entries {
		if i, err := e.Info(); err == nil && i.Mode().IsRegular() { // one that has gone meanwhile is none
			all = append(all, FileInfo{i.Name(), i.Size(), i.ModTime()})
		}
	}
	return all, err
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// Rename gives a file another name.
func (OSFileSystem) Rename(path, to string) error { return os.Rename(path, to) }

// SyncDir makes the folder's own entries last.
func (OSFileSystem) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
