package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"syscall"
)

// The file of bans: a line with the checksum of the rest, then the rest.

// Save writes the bans to a file, as a whole or not at all.
func Save(path string, excluded []string) error {
	text, _ := json.Marshal(excluded)
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
func Load(path string) (excluded []string, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if of, err := os.Lstat(path); err != nil {
		return nil, err
	} else if st, ok := of.Sys().(*syscall.Stat_t); !ok || !of.Mode().IsRegular() || int(st.Uid) != os.Getuid() {
		return nil, errors.New("it is no file of this user")
	}
	const head = 9
	if len(text) < head || string(text[:head]) != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(text[head:])) {
		return nil, errors.New("damaged: its checksum is another")
	}
	return excluded, json.Unmarshal(text[head:], &excluded)
}
