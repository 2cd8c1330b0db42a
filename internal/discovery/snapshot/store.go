package snapshot

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"fernvane/internal/journal/wal"
)

// Names of files: list-000000000001.snap, with .new appended while it is written.
const (
	filePrefix    = "list-"
	fileSuffix    = ".snap"
	partialSuffix = ".new"
)

// Store is a folder with generations.
type Store struct {
	dir            string
	files          wal.FileSystem
	maxGenerations int
	nextNumber     uint64
}

// Generation is one file of a Store.
type Generation struct {
	Number   uint64 // grows with each generation
	Path     string
	Snapshot *Snapshot // nil if Err is set
	Err      error     // why the file cannot be used
}

// Open returns the Store of a folder that exists. It keeps at most maxGenerations.
func Open(dir string, maxGenerations int, files wal.FileSystem) (*Store, error) {
	s := &Store{dir: dir, files: files, maxGenerations: max(maxGenerations, 1), nextNumber: 1}
	numbers, err := s.numbers()
	if err != nil {
		return nil, err
	}
	if n := len(numbers); n > 0 {
		s.nextNumber = numbers[n-1] + 1
	}
	return s, nil
}

// Write stores the next generation and removes the oldest ones. A file is synced before it gets its name, and has its name
// before older ones are removed, so wherever that is interrupted, the newest complete generation is this one or the one
// before.
func (s *Store) Write(snapshot *Snapshot) error {
	b, err := Encode(snapshot)
	if err != nil {
		return err
	}
	path := s.path(s.nextNumber)
	s.nextNumber++
	if err := s.writeFile(path, b); err != nil {
		return err
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return err
	}
	return s.Prune(s.maxGenerations)
}

// writeFile writes and syncs a file under another name, and renames it.
func (s *Store) writeFile(path string, b []byte) error {
	f, err := s.files.Create(path + partialSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = s.files.Rename(path+partialSuffix, path)
	}
	if err != nil {
		s.files.Remove(path + partialSuffix)
	}
	return err
}

// Prune removes all but the newest generations, and files whose writing was interrupted.
func (s *Store) Prune(maxGenerations int) error {
	infos, err := s.files.List(s.dir)
	if err != nil {
		return err
	}
	var errs error
	for _, info := range infos {
		if strings.HasPrefix(info.Name, filePrefix) && strings.HasSuffix(info.Name, fileSuffix+partialSuffix) {
			errs = errors.Join(errs, s.files.Remove(filepath.Join(s.dir, info.Name)))
		}
	}
	numbers, err := s.numbers()
	for len(numbers) > maxGenerations {
		errs = errors.Join(errs, s.files.Remove(s.path(numbers[0])))
		numbers = numbers[1:]
	}
	return errors.Join(errs, err)
}

// All reads every generation, the newest first.
func (s *Store) All() ([]Generation, error) {
	numbers, err := s.numbers()
	if err != nil {
		return nil, err
	}
	slices.Reverse(numbers)
	var all []Generation
	for _, number := range numbers {
		g := Generation{Number: number, Path: s.path(number)}
		g.Snapshot, g.Err = s.read(g.Path)
		all = append(all, g)
	}
	return all, nil
}

// Newest returns the newest generation that can be used, nil if there is none, and why newer ones cannot. One of a newer
// version of the program ends the search: what is older was left behind on purpose.
func (s *Store) Newest() (newest *Snapshot, unusable []error, err error) {
	all, err := s.All()
	if err != nil {
		return nil, nil, err
	}
	for _, g := range all {
		if g.Err == nil {
			return g.Snapshot, unusable, nil
		}
		unusable = append(unusable, fmt.Errorf("%s: %w", g.Path, g.Err))
		if errors.Is(g.Err, ErrNewerVersion) {
			break
		}
	}
	return nil, unusable, nil
}

func (s *Store) read(path string) (*Snapshot, error) {
	f, err := s.files.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, int64(headerBytes+maxBodyBytes+1)))
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// numbers returns the numbers of all generations, the oldest first.
func (s *Store) numbers() (all []uint64, err error) {
	infos, err := s.files.List(s.dir)
	if err != nil {
		return nil, err
	}
	for _, info := range infos {
		name, hasPrefix := strings.CutPrefix(info.Name, filePrefix)
		digits, hasSuffix := strings.CutSuffix(name, fileSuffix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if hasPrefix && hasSuffix && err == nil {
			all = append(all, number)
		}
	}
	slices.Sort(all)
	return all, nil
}

func (s *Store) path(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%012d%s", filePrefix, number, fileSuffix))
}
