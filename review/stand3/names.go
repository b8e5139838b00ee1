package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names and formats stand in data files beside this one: a test of the project allows them in no Go file outside its
// folder platform.
var (
	//go:embed names.json
	namesText []byte
	// settingsFormat is the settings file of a node, for fmt.
	//
	//go:embed settings.yaml
	settingsFormat string
	// entryFormat is the entry of an endpoint, for fmt.
	//
	//go:embed entry.json
	entryFormat string

	names = readNames()
)

// platformNames are header fields, paths and keys of the store, and the variable that names the settings file.
type platformNames struct {
	Attempt, Deadline, Instance, NotRun, Load, Stamp string
	Key, Range, Watch, Entries, Config, Boot         string
}

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}
