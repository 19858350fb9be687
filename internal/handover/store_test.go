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

// failingFiles are the system's files of which one step fails, or from which on the process is dead: nothing more happens.
type failingFiles struct {
	systemFiles
	step    int // counts down
	fault   error
	killed  bool // at the step, not only there
	partial int  // bytes that a failing write takes all the same
	synced  []string
}

var errKilled = errors.New("killed")

// fails counts a step.
func (f *failingFiles) fails() error {
	f.step--
	if f.step == 0 || f.killed && f.step < 0 {
		return f.fault
	}
	return nil
}

func (f *failingFiles) Create(path string) (File, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	file, err := f.systemFiles.Create(path)
	return &failingFile{file, f}, err
}

func (f *failingFiles) Rename(from, to string) error {
	if err := f.fails(); err != nil {
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

func (f *failingFiles) SyncFolder(path string) error {
	if err := f.fails(); err != nil {
		return err
	}
	f.synced = append(f.synced, "folder")
	return f.systemFiles.SyncFolder(path)
}

type failingFile struct {
	File
	in *failingFiles
}

func (f *failingFile) Write(text []byte) (int, error) {
	if err := f.in.fails(); err != nil {
		n, _ := f.File.Write(text[:min(f.in.partial, len(text))])
		return n, err
	}
	return f.File.Write(text)
}

func (f *failingFile) Sync() error {
	if err := f.in.fails(); err != nil {
		return err
	}
	f.in.synced = append(f.in.synced, "file")
	return f.File.Sync()
}

func (f *failingFile) Close() error {
	f.File.Close()
	return f.in.fails()
}

// TestSaveThatFails fails each step of a save, and ends the process at each, with a write that is cut at each byte: the version
// before or the new one is there whole, an error is told unless the new one is durable, and the next save holds.
func TestSaveThatFails(t *testing.T) {
	const steps = 6 // create, write, sync, close, rename, sync of the folder
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
					t.Errorf("%s: saving tells %v", name, err)
				}
				var got []string
				if err := Load(path, &got); err != nil || !slices.Equal(got, old) && !slices.Equal(got, changed) {
					t.Errorf("%s: the file has %q, %v", name, got, err)
				}
				if step < steps-1 && !slices.Equal(got, old) {
					t.Errorf("%s: the older version is lost: %q", name, got)
				}
				if err := Save(path, changed); err != nil {
					t.Errorf("%s: the next save: %v", name, err)
				}
				if err := Load(path, &got); err != nil || !slices.Equal(got, changed) {
					t.Errorf("%s: after the next save the file has %q, %v", name, got, err)
				}
			}
		}
	}
}

// TestSaveIsDurable holds the order of a save: its bytes before its name, its name before it is told done; and anew after a sync that
// failed.
func TestSaveIsDurable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	files := &failingFiles{}
	if err := (Store{files}).Save(path, "x"); err != nil || !slices.Equal(files.synced, []string{"file", "folder"}) {
		t.Errorf("synced %q, %v", files.synced, err)
	}
	again := &failingFiles{step: 3, fault: syscall.EIO}
	if err := (Store{again}).Save(path, "y"); !errors.Is(err, syscall.EIO) {
		t.Errorf("a sync that failed tells %v", err)
	}
	if err := (Store{again}).Save(path, "y"); err != nil || !slices.Equal(again.synced, []string{"file", "folder"}) {
		t.Errorf("the second try synced %q, %v", again.synced, err)
	}
}

// shortFiles takes less than it is given and tells no error.
type shortFiles struct{ systemFiles }

func (f shortFiles) Create(path string) (File, error) {
	file, err := f.systemFiles.Create(path)
	return shortFile{file}, err
}

type shortFile struct{ File }

func (f shortFile) Write(text []byte) (int, error) { return f.File.Write(text[:len(text)/2]) }

// TestSaveShortWrite makes sure that half a file is never renamed.
func TestSaveShortWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bans")
	if err := (Store{shortFiles{}}).Save(path, "x"); !errors.Is(err, io.ErrShortWrite) {
		t.Errorf("half a write tells %v", err)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("there is a file: %v", err)
	}
}
