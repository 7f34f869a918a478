package jobs

import (
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// snapshotChunkBytes is the size of the pieces in which a snapshot is encoded. One buffer for all of it would be copied
// each time it grows.
const snapshotChunkBytes = 256 << 10

// snapshotJobs is the name of the jobs in a snapshot.
const snapshotJobs = "jobs"

// snapshotRest is the content of a snapshot without the jobs.
type snapshotRest struct {
	*stateData
	Jobs *struct{} `json:"jobs,omitempty"` // hides those of the state; always nil
}

// chunks is a text in pieces.
type chunks [][]byte

// Write implements io.Writer.
func (c *chunks) Write(p []byte) (int, error) {
	if last := len(*c) - 1; last < 0 || len((*c)[last])+len(p) > cap((*c)[last]) {
		*c = append(*c, make([]byte, 0, max(snapshotChunkBytes, len(p))))
	}
	last := len(*c) - 1
	(*c)[last] = append((*c)[last], p...)
	return len(p), nil
}

// encode returns the state as one JSON object.
func (d *stateData) encode() (chunks, error) {
	rest, err := json.Marshal(snapshotRest{stateData: d})
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	var c chunks
	_, _ = c.Write([]byte(`{"` + snapshotJobs + `":{`)) // never fails, nor do the others
	for i, id := range slices.Sorted(maps.Keys(d.Jobs)) {
		key, err := json.Marshal(id)
		if err != nil {
			return nil, errors.Wrap(err, "encode id")
		}
		job, err := json.Marshal(d.Jobs[id])
		if err != nil {
			return nil, errors.Wrapf(err, "encode job %s", id)
		}
		if i > 0 {
			_, _ = c.Write([]byte{','})
		}
		_, _ = c.Write(append(key, ':'))
		_, _ = c.Write(job)
	}
	_, _ = c.Write([]byte("},"))
	_, _ = c.Write(rest[1:])
	return c, nil
}

// decodeState reads a state as encode and earlier releases write it. It holds one job at a time in encoded form.
func decodeState(r io.Reader) (stateData, error) {
	d := newStateData()
	dec := json.NewDecoder(r)
	rest := map[string]json.RawMessage{}
	err := decodeObject(dec, func(name string) error {
		if name != snapshotJobs {
			var value json.RawMessage
			err := dec.Decode(&value)
			rest[name] = value
			return err
		}
		return decodeObject(dec, func(id string) error {
			j := &Job{}
			err := dec.Decode(j)
			d.Jobs[id] = j
			return err
		})
	})
	if err != nil {
		return d, errors.Wrap(err, "decode snapshot")
	}
	text, err := json.Marshal(rest)
	if err != nil {
		return d, errors.Wrap(err, "decode snapshot")
	}
	return d, errors.Wrap(json.Unmarshal(text, &d), "decode snapshot")
}

// errNoObject means that a JSON value isn't an object.
var errNoObject = errors.New("not a JSON object")

// decodeObject reads an object and calls f with each name, which has to read the value. It reads null as an empty object.
func decodeObject(dec *json.Decoder, f func(name string) error) error {
	t, err := dec.Token()
	if err != nil || t == nil {
		return err
	}
	if t != json.Delim('{') {
		return errNoObject
	}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return err
		}
		name, ok := t.(string)
		if !ok {
			return errNoObject
		}
		if err := f(name); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
