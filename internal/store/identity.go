package store

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

const (
	identityName     = "identity"
	identityTempName = "identity.tmp"
	// Format is the version of the file formats that this package writes.
	Format = 1
)

// Identity identifies the replica that a data folder belongs to.
type Identity struct {
	Format  uint32 `json:"format"`
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	// Incarnation is a random id, chosen when the folder is created. A replica
	// that lost its folder restarts with another one and is a different member.
	Incarnation string `json:"incarnation"`
	// Boot counts how often the folder was opened.
	Boot uint64 `json:"boot"`
	// Refused is the reason why the replica must never vote again with this
	// folder; empty if it may vote.
	Refused string `json:"refused,omitempty"`
}

// NewIncarnation returns a random incarnation for Options.
func NewIncarnation() string {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// WithNextBoot returns the identity with Boot increased by one.
func (i Identity) WithNextBoot() Identity {
	i.Boot++
	return i
}

// WithRefused returns the identity with the reason why it must not vote.
func (i Identity) WithRefused(reason string) Identity {
	i.Refused = reason
	return i
}

// identityFile is the content of the identity file.
type identityFile struct {
	Sum      uint32          `json:"sum"` // CRC32C of Identity as it is written
	Identity json.RawMessage `json:"identity"`
}

func (i Identity) check(options Options) error {
	switch {
	case i.Format > Format:
		return errors.Wrapf(ErrNewerFormat, "%s: format %d, this program reads up to %d", identityName, i.Format, Format)
	case i.Cluster != options.Cluster:
		return errors.Wrapf(ErrOtherCluster, "%s: cluster %q, settings say %q", identityName, i.Cluster, options.Cluster)
	case i.Name != options.Name:
		return errors.Wrapf(ErrOtherReplica, "%s: name %q, settings say %q", identityName, i.Name, options.Name)
	}
	return nil
}

func readIdentity(fs FS) (Identity, error) {
	b, err := readFile(fs, identityName)
	if err != nil {
		return Identity{}, err
	}
	var f identityFile
	var id Identity
	if err := json.Unmarshal(b, &f); err != nil {
		return id, &CorruptError{File: identityName, Reason: err.Error()}
	}
	if crc32.Checksum(f.Identity, crc32c) != f.Sum {
		return id, &CorruptError{File: identityName, Reason: "checksum mismatch"}
	}
	if err := json.Unmarshal(f.Identity, &id); err != nil {
		return id, &CorruptError{File: identityName, Reason: err.Error()}
	}
	return id, nil
}

func writeIdentity(fs FS, id Identity) error {
	raw, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	b, err := json.Marshal(identityFile{Sum: crc32.Checksum(raw, crc32c), Identity: raw})
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	if err := writeFile(fs, identityTempName, b); err != nil {
		return err
	}
	if err := fs.Rename(identityTempName, identityName); err != nil {
		return errors.Wrap(err, "rename identity")
	}
	return errors.Wrap(fs.SyncDir(), "sync data folder")
}

func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name, false)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", name)
	}
	size, err := f.Size()
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "size of %s", name), f.Close())
	}
	b := make([]byte, size)
	if size > 0 {
		if _, err := f.ReadAt(b, 0); err != nil {
			return nil, errors.CombineErrors(errors.Wrapf(err, "read %s", name), f.Close())
		}
	}
	return b, errors.Wrapf(f.Close(), "close %s", name)
}

// writeFile replaces the content of a file, or creates it, and syncs it. The
// directory entry isn't synced.
func writeFile(fs FS, name string, b []byte) error {
	f, err := fs.Open(name, true)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	err = f.Truncate(0)
	if err == nil {
		_, err = f.WriteAt(b, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Wrapf(errors.CombineErrors(err, f.Close()), "write %s", name)
}
