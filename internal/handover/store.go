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

// The files hold what operators have ordered, so that it survives a restart. The first line of a file is the checksum of
// the rest, and the rest is JSON.

// FileSystem is the set of file operations that Store uses.
type FileSystem interface {
	// Create creates a file and fails if the path exists, so that it never follows a symbolic link placed by another user.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the renames in a directory durable.
	SyncDir(path string) error
}

// File is a file opened for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Store saves values in files atomically: whichever operation fails, and whenever the process or the machine stops, the
// last complete version remains readable.
type Store struct{ Files FileSystem }

// Save writes a new version. If it returns nil, the version is durable. If it returns an error, the file holds either the
// new or the previous version, and the caller has to call Save again; each call writes the whole file again, because a
// failed sync may lose data that a later sync does not write again.
func (s Store) Save(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	s.Files.Remove(tempPath)
	if err = s.write(tempPath, fmt.Appendf(nil, "%08x\n%s", crc32.ChecksumIEEE(text), text)); err != nil {
		s.Files.Remove(tempPath)
		return err
	}
	if err = s.Files.Rename(tempPath, path); err != nil {
		s.Files.Remove(tempPath)
		return err
	}
	return s.Files.SyncDir(filepath.Dir(path))
}

// write creates a file and syncs its content. Its name is not durable yet: that takes a sync of the directory.
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

// systemFiles is the FileSystem of the operating system.
type systemFiles struct{}

func (systemFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }
func (systemFiles) Remove(path string) error     { return os.Remove(path) }

func (systemFiles) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Save saves a value as Store.Save does, in the operating system's files.
func Save(path string, value any) error { return Store{systemFiles{}}.Save(path, value) }

// Load reads the value that Save wrote. A missing file is not an error and leaves value unchanged; a file that belongs to
// another user is an error.
func Load(path string, value any) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info, err := os.Lstat(path); err != nil {
		return err
	} else if stat, ok := info.Sys().(*syscall.Stat_t); !ok || !info.Mode().IsRegular() || int(stat.Uid) != os.Getuid() {
		return errors.New("not a regular file of this user")
	}
	const headerBytes = 9
	if len(text) < headerBytes || string(text[:headerBytes]) != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(text[headerBytes:])) {
		return errors.New("damaged: the checksum does not match")
	}
	return json.Unmarshal(text[headerBytes:], value)
}

// RenameDamaged renames an unreadable file so that it can be inspected later. It returns the new name, or "" if the renaming failed.
func RenameDamaged(path string) string {
	if err := os.Rename(path, path+".damaged"); err != nil {
		return ""
	}
	return path + ".damaged"
}
