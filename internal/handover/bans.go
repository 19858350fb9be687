package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"syscall"
)

// A file of what was ordered by hand: a line with the checksum of the rest, then the rest.

// Save writes it, as a whole or not at all.
func Save(path string, what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	f, err := os.OpenFile(fresh, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600) // never through a link that another user has laid
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "%08x\n%s", crc32.ChecksumIEEE(text), text)
	if err = errors.Join(err, f.Close()); err != nil {
		os.Remove(fresh)
		return err
	}
	return os.Rename(fresh, path)
}

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
