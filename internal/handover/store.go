package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// A file of what was ordered by hand: a line with the checksum of the rest, then the rest.

// FileSystem is what Store needs of the system's files.
type FileSystem interface {
	// Create makes a file that is not there yet, never through a link that another user has laid.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes renames in a folder durable.
	SyncFolder(path string) error
}

// File is one that is written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Store keeps values in files, each as a whole or not at all: whatever fails, and whenever the process or the machine ends, the
// last whole version is there.
type Store struct{ Files FileSystem }

// Save writes a new version. Without an error it is durable. With one it may be there or not, the older one is there if it is not,
// and Save has to be called again: what has failed once, a sync too, is written anew.
func (s Store) Save(path string, what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	s.Files.Remove(fresh)
	if err = s.write(fresh, fmt.Appendf(nil, "%08x\n%s", crc32.ChecksumIEEE(text), text)); err != nil {
		s.Files.Remove(fresh)
		return err
	}
	if err = s.Files.Rename(fresh, path); err != nil {
		s.Files.Remove(fresh)
		return err
	}
	return s.Files.SyncFolder(filepath.Dir(path))
}

// write makes a file that is durable but for its name.
func (s Store) write(path string, text []byte) error {
	f, err := s.Files.Create(path)
	if err != nil {
		return err
	}
	n, err := f.Write(text)
	if err == nil && n < len(text) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// systemFiles are the system's own.
type systemFiles struct{}

func (systemFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }
func (systemFiles) Remove(path string) error     { return os.Remove(path) }

func (systemFiles) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Save is Store.Save with the system's files.
func Save(path string, what any) error { return Store{systemFiles{}}.Save(path, what) }

// Load reads it. That there is none is no error; one of another user is.
func Load(path string, to any) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if of, err := os.Lstat(path); err != nil {
		return err
	} else if st, ok := of.Sys().(*syscall.Stat_t); !ok || !of.Mode().IsRegular() || int(st.Uid) != os.Getuid() {
		return errors.New("it is no file of this user")
	}
	const head = 9
	if len(text) < head || string(text[:head]) != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(text[head:])) {
		return errors.New("damaged: its checksum is another")
	}
	return json.Unmarshal(text[head:], to)
}

// Aside keeps a file that cannot be read under another name, for who wants to look at it; the name, or "" where that failed.
func Aside(path string) string {
	if err := os.Rename(path, path+".damaged"); err != nil {
		return ""
	}
	return path + ".damaged"
}
