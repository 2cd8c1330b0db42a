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

// File names have the form list-000000000001.snap, with .new appended while the file is being written.
const (
	filePrefix    = "list-"
	fileSuffix    = ".snap"
	partialSuffix = ".new"
)

// Store is a folder of generations.
type Store struct {
	dir            string
	files          wal.FileSystem
	maxGenerations int
	nextNumber     uint64
}

// Generation is one file of a Store.
type Generation struct {
	Number   uint64 // increases with each generation
	Path     string
	Snapshot *Snapshot // nil if Err is set
	Err      error     // why the file is unusable
}

// Open returns the Store of an existing folder. The Store retains at most maxGenerations.
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

// Write stores the next generation and removes the oldest ones. A file is synced before it is renamed to its final name, and
// renamed before older files are removed. If Write is interrupted at any point, the newest complete generation is therefore
// this one or the previous one.
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

// writeFile writes and syncs a file under a temporary name, then renames it to its final name.
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

// Prune removes all but the newest maxGenerations generations, and the remains of interrupted writes.
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

// All reads all generations, newest first.
func (s *Store) All() ([]Generation, error) {
	numbers, err := s.numbers()
	if err != nil {
		return nil, err
	}
	slices.Reverse(numbers)
	var all []Generation
	for _, number := range numbers {
		generation := Generation{Number: number, Path: s.path(number)}
		generation.Snapshot, generation.Err = s.read(generation.Path)
		all = append(all, generation)
	}
	return all, nil
}

// Newest returns the newest usable generation, or nil if there is none, and the errors of newer generations. The search ends
// at a generation of a newer program version, because the older generations are outdated and deliberately not used in its place.
func (s *Store) Newest() (newest *Snapshot, unusable []error, err error) {
	all, err := s.All()
	if err != nil {
		return nil, nil, err
	}
	for _, generation := range all {
		if generation.Err == nil {
			return generation.Snapshot, unusable, nil
		}
		unusable = append(unusable, fmt.Errorf("read snapshot %s: %w", generation.Path, generation.Err))
		if errors.Is(generation.Err, ErrNewerVersion) {
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

// numbers returns the numbers of all generations, oldest first.
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
