package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names and formats stand in files beside this one, since the project lets no Go file outside its folder platform use
// them.
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

// platformNames are the platform's names of header fields, paths and keys.
type platformNames struct {
	Attempt, Deadline, Expected, Caller, NotExecuted, Stamp, Load, Instance string
	KeyPath, RangePath, WatchPath, EntryPrefix, ConfigKey, SettingsVariable string
}

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}
