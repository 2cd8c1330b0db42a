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

// Generation is a file of a folder.
type Generation struct {
	Number   uint64
	Path     string
	Snapshot *Snapshot // nil: it cannot be gone by
	Err      error
}

// Open looks at a folder.
func Open(dir string, keep int, files wal.FileSystem) (*Store, error) {
	s := &Store{dir: dir, files: files, maxGenerations: max(keep, 1), nextNumber: 1}
	numbers, err := s.numbers()
	if err != nil {
		return nil, err
	}
	if n := len(numbers); n > 0 {
		s.nextNumber = numbers[n-1] + 1
	}
	return s, nil
}

// numbers of the generations that are there, the oldest first.
func (s *Store) numbers() (all []uint64, err error) {
	infos, err := s.files.List(s.dir)
	if err != nil {
		return nil, err
	}
	for _, i := range infos {
		text, ok := strings.CutPrefix(i.Name, filePrefix)
		text, whole := strings.CutSuffix(text, fileSuffix)
		if n, err := strconv.ParseUint(text, 10, 64); ok && whole && err == nil {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all, nil
}

func (s *Store) path(n uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%012d%s", filePrefix, n, fileSuffix))
}

// Write makes the next generation: a file of its own, made to last before it gets its name, and the name before older
// ones are removed. Whenever that breaks off, the newest whole generation is either this one or the one before.
func (s *Store) Write(snap *Snapshot) error {
	b, err := Encode(snap)
	if err != nil {
		return err
	}
	n := s.nextNumber
	s.nextNumber++
	path := s.path(n)
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
		return err
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return err
	}
	return s.Prune(s.maxGenerations)
}

// Prune removes all but the newest generations, and what broke off before it had its name.
func (s *Store) Prune(keep int) error {
	infos, err := s.files.List(s.dir)
	if err != nil {
		return err
	}
	var errs error
	for _, i := range infos {
		if strings.HasPrefix(i.Name, filePrefix) && strings.HasSuffix(i.Name, fileSuffix+partialSuffix) {
			errs = errors.Join(errs, s.files.Remove(filepath.Join(s.dir, i.Name)))
		}
	}
	numbers, err := s.numbers()
	for len(numbers) > keep {
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
	for _, n := range numbers {
		g := Generation{Number: n, Path: s.path(n)}
		g.Snapshot, g.Err = s.read(g.Path)
		all = append(all, g)
	}
	return all, nil
}

// Newest is the newest whole generation, nil if there is none; faults name those that were passed over. One of a newer
// version ends the search: what is older than that was left behind on purpose.
func (s *Store) Newest() (newest *Snapshot, faults []error, err error) {
	all, err := s.All()
	if err != nil {
		return nil, nil, err
	}
	for _, g := range all {
		if g.Err == nil {
			return g.Snapshot, faults, nil
		}
		faults = append(faults, fmt.Errorf("%s: %w", g.Path, g.Err))
		if errors.Is(g.Err, ErrNewerVersion) {
			break
		}
	}
	return nil, faults, nil
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
