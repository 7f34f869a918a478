package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds the platform's names of fields and paths.
var names struct {
	Task      string `json:"task"`
	Run       string `json:"run"`
	Spec      string `json:"spec"`
	LeaseEnd  string `json:"leaseEnd"`
	Fence     string `json:"fence"`
	Seen      string `json:"seen"`
	Wait      string `json:"wait"`
	Clock     string `json:"clock"`
	Born      string `json:"born"`
	Reason    string `json:"reason"`
	Running   string `json:"running"`
	Finished  string `json:"finished"`
	PathStart string `json:"pathStart"`
	PathStop  string `json:"pathStop"`
	PathHold  string `json:"pathHold"`
	PathBeat  string `json:"pathBeat"`
	// PathConfig is the path of the configuration.
	PathConfig string          `json:"pathConfig"`
	Cold       string          `json:"cold"`
	Left       string          `json:"left"`
	Memory     string          `json:"memory"`
	Estimate   string          `json:"estimate"`
	Spread     string          `json:"spread"`
	MayMiss    string          `json:"mayMiss"`
	Config     json.RawMessage `json:"config"`
}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
}
