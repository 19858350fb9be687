package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
)

// The file of bans: a line with the checksum of the rest, then the rest.

// Save writes the bans to a file, as a whole or not at all.
func Save(path string, excluded []string) error {
	text, _ := json.Marshal(excluded)
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(fresh, fmt.Appendf(nil, "%08x\n%s", crc32.ChecksumIEEE(text), text), 0o600); err != nil {
		os.Remove(fresh)
		return err
	}
	return os.Rename(fresh, path)
}

// Load reads it. That there is none is no error.
func Load(path string) (excluded []string, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	const head = 9
	if len(text) < head || string(text[:head]) != fmt.Sprintf("%08x\n", crc32.ChecksumIEEE(text[head:])) {
		return nil, errors.New("damaged: its checksum is another")
	}
	return excluded, json.Unmarshal(text[head:], &excluded)
}
