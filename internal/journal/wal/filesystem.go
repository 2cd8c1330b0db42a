package wal

import (
	"io"
	"os"
	"path/filepath"
	"time"
)

// FileSystem is the disk beneath a journal. OSFileSystem is the real one; tests use one that fails on purpose.
type FileSystem interface {
	// Create makes a file that was not there before; the error is os.ErrExist where it was.
	Create(path string) (File, error)
	// Open opens a file to be read.
	Open(path string) (io.ReadCloser, error)
	// List returns the regular files of a folder, in no order.
	List(dir string) ([]FileInfo, error)
	// Remove removes a file.
	Remove(path string) error
	// Rename gives a file another name in its folder, replacing one that has it.
	Rename(path, to string) error
	// SyncDir makes the folder's own entries survive a crash of the machine.
	SyncDir(dir string) error
}

// File is a file that is written.
type File interface {
	io.WriteCloser
	// Sync makes what was written survive a crash of the machine.
	Sync() error
}

// FileInfo describes a file of a folder.
type FileInfo struct {
	Name    string
	Size    int64
	ModTime time.Time
}

// OSFileSystem is the operating system's file system.
type OSFileSystem struct{}

// Create makes a file that was not there before.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Open opens a file to be read.
func (OSFileSystem) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// List returns the regular files of a folder, by name. A file that is removed meanwhile is left out.
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

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// Rename gives a file another name.
func (OSFileSystem) Rename(path, to string) error { return os.Rename(path, to) }

// SyncDir makes the folder's own entries durable.
func (OSFileSystem) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
