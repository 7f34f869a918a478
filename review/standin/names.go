package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds the names of the platform's protocols that the stand-ins use. They stand in a file of their
// own, as the project keeps them out of Go files outside its adapter.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}()

// field returns a number of a JSON object, 0 if it has none of this name.
func field(object map[string]json.RawMessage, name string) uint64 {
	var n uint64
	_ = json.Unmarshal(object[names[name]], &n)
	return n
}
