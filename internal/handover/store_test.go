package handover

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
)

// failingFiles is a FileSystem in which one step fails. If killed is set, all later steps fail too, as if the process had
// been killed at that step.
type failingFiles struct {
	systemFiles
	step    int // steps until the failure; counts down
	fault   error
	killed  bool     // all steps from the failing one on fail
	partial int      // bytes that a failing write writes nevertheless
	synced  []string // successful syncs, in order
}

var errKilled = errors.New("killed")

// countStep counts a step and returns the error with which it is to fail, or nil.
func (f *failingFiles) countStep() error {
	f.step--
	if f.step == 0 || f.killed && f.step < 0 {
		return f.fault
	}
	return nil
}

func (f *failingFiles) Create(path string) (File, error) {
	if err := f.countStep(); err != nil {
		return nil, err
	}
	file, err := f.systemFiles.Create(path)
	return &failingFile{file, f}, err
}

func (f *failingFiles) Rename(from, to string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.systemFiles.Rename(from, to)
}

func (f *failingFiles) Remove(path string) error {
	if f.killed && f.step <= 0 {
		return f.fault
	}
	return f.systemFiles.Remove(path)
}

func (f *failingFiles) SyncDir(path string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	f.synced = append(f.synced, "folder")
	return f.systemFiles.SyncDir(path)
}

type failingFile struct {
	File
	files *failingFiles
}

func (f *failingFile) Write(text []byte) (int, error) {
	if err := f.files.countStep(); err != nil {
		n, _ := f.File.Write(text[:min(f.files.partial, len(text))])
		return n, err
	}
	return f.File.Write(text)
}

func (f *failingFile) Sync() error {
	if err := f.files.countStep(); err != nil {
		return err
	}
	f.files.synced = append(f.files.synced, "file")
	return f.File.Sync()
}

func (f *failingFile) Close() error {
	f.File.Close()
	return f.files.countStep()
}

// TestSaveThatFails lets each step of a save fail, or kills the process at it, with the write cut at each byte. The previous
// or the new version must be complete in the file, the save must return the error, and the next save must succeed.
func TestSaveThatFails(t *testing.T) {
	const steps = 6 // create, write, sync, close, rename, sync of the directory
	old, changed := []string{"a"}, []string{"a", "b"}
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS, errKilled} {
		for step := 1; step <= steps; step++ {
			cuts := 1
			if step == 2 {
				cuts = 20
			}
			for cut := range cuts {
				name := fmt.Sprintf("%v at step %d, cut at %d", fault, step, cut)
				path := filepath.Join(t.TempDir(), "bans")
				if err := Save(path, old); err != nil {
					t.Fatal(err)
				}
				files := &failingFiles{step: step, fault: fault, killed: fault == errKilled, partial: cut}
				if err := (Store{files}).Save(path, changed); !errors.Is(err, fault) {
					t.Errorf("%s: saving returned %v", name, err)
				}
				var got []string
				if err := Load(path, &got); err != nil || !slices.Equal(got, old) && !slices.Equal(got, changed) {
					t.Errorf("%s: the file holds %q, %v", name, got, err)
				}
				if step < steps-1 && !slices.Equal(got, old) {
					t.Errorf("%s: the previous version is lost: %q", name, got)
				}
				if err := Save(path, changed); err != nil {
					t.Errorf("%s: the next save: %v", name, err)
				}
				if err := Load(path, &got); err != nil || !slices.Equal(got, changed) {
					t.Errorf("%s: after the next save the file holds %q, %v", name, got, err)
				}
			}
		}
	}
}

// TestSaveIsDurable checks the order of a save: the content is synced before the rename, the directory before the save
// returns. After a failed sync, the next save must sync both again.
func TestSaveIsDurable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	files := &failingFiles{}
	if err := (Store{files}).Save(path, "x"); err != nil || !slices.Equal(files.synced, []string{"file", "folder"}) {
		t.Errorf("synced %q, %v", files.synced, err)
	}
	retried := &failingFiles{step: 3, fault: syscall.EIO}
	if err := (Store{retried}).Save(path, "y"); !errors.Is(err, syscall.EIO) {
		t.Errorf("a save with a failing sync returned %v", err)
	}
	if err := (Store{retried}).Save(path, "y"); err != nil || !slices.Equal(retried.synced, []string{"file", "folder"}) {
		t.Errorf("the second save synced %q, %v", retried.synced, err)
	}
}

// shortFiles is a FileSystem whose writes write only half of their data and return no error.
type shortFiles struct{ systemFiles }

func (f shortFiles) Create(path string) (File, error) {
	file, err := f.systemFiles.Create(path)
	return shortFile{file}, err
}

type shortFile struct{ File }

func (f shortFile) Write(text []byte) (int, error) { return f.File.Write(text[:len(text)/2]) }

// TestSaveShortWrite checks that an incompletely written file is never renamed to the final name.
func TestSaveShortWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	if err := (Store{shortFiles{}}).Save(path, "x"); !errors.Is(err, io.ErrShortWrite) {
		t.Errorf("a save with a short write returned %v", err)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file exists: %v", err)
	}
}
