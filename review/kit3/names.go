package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds the names and bodies of the users' protocol.
var names struct {
	Beat           map[string]any
	OddBeat        map[string]any // what another writer says differently
	BeatPath       string
	StartPath      string
	StopPath       string
	HoldPath       string
	ConfigPath     string
	InstanceHeader string
	KeyHeader      string
	DeadlineHeader string
	Host           string
	Order          struct{ Task, Run, Lease, Fence, Seen, Wait, Saved string }
	Config         json.RawMessage
	Jobs           map[string]json.RawMessage
}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}
