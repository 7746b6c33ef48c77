package main

import (
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

func parse(t *testing.T, arguments ...string) *command {
	var c command
	parser, err := kong.New(&c)
	assert.NilError(t, err)
	_, err = parser.Parse(arguments)
	assert.NilError(t, err)
	return &c
}

func TestCheck_ReportsAllInvalidFlagsTogether(t *testing.T) {
	err := parse(t, "--days=0", "--jobs=0", "--until=0s", "--scenario=none", "missing.toml").check()
	for _, part := range []string{"--bench", "missing.toml", "--days is 0", "--jobs is 0", "--until is 0s", `"none"`} {
		assert.ErrorContains(t, err, part)
	}
}

func TestTheLineForTheJournalStaysShort(t *testing.T) {
	assert.NilError(t, parse(t, "--draw", "--seed=99999", "main.go").check())
	err := parse(t, "--draw", "--why=Drawn deployments and days, with all that the list of troubles names, to find broken rules in them", "main.go").check()
	assert.ErrorContains(t, err, "fewer than 120")
}

func TestUnknownFlags_ReportsAllTogether(t *testing.T) {
	parser, err := kong.New(&command{})
	assert.NilError(t, err)
	assert.DeepEqual(t, unknownFlags(parser, []string{"--day=3", "--seed=1", "x.toml", "--boat"}), []string{"--day", "--boat"})
}

func TestTheEndOfAnOutput(t *testing.T) {
	assert.Equal(t, tail(" abc\n", 2), "bc")
	assert.Equal(t, tail("abc", 9), "abc")
}
