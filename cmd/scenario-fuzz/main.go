// Command scenario-fuzz generates deployments and days from seeds, plays them, and keeps those that break a rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"saffronyard.example/saffronyard/internal/faulttest/scenariofuzz"
)

// maxConsecutiveFailures is the number of consecutive failed plays after which no further one is started. Plays fail one after
// another if, for example, the tier does not build.
const maxConsecutiveFailures = 3

// reasonLimit is the length that a line for the journal must stay below.
const reasonLimit = 120

// command holds the flags and arguments of the command line.
type command struct {
	Bench     string        `type:"path" help:"Program that plays a day: PROGRAM run SITE DAY --report FILE. Needed unless --draw is given."`
	Repo      string        `default:"." type:"path" help:"Repository that is played; its journal gets the entries."`
	Out       string        `default:"/tmp/fuzzdays" type:"path" help:"Scratch folder for site and day files."`
	Seed      int64         `default:"1" help:"First seed."`
	Days      int           `default:"20" help:"Number of days."`
	Jobs      int           `default:"3" help:"Plays at a time."`
	Until     time.Duration `default:"25m" help:"Start no play after this span."`
	Scenario  string        `help:"Draw only this scenario. Left out, each seed takes its own."`
	Scenarios bool          `help:"Print the scenarios' names and end."`
	Draw      bool          `help:"Only write the files."`
	Why       string        `default:"Drawn deployment and day, to find broken rules" help:"Line for the journal; seed and scenario follow it."`
	Sites     []string      `arg:"" optional:"" type:"path" help:"Site files to edit copies of."`
}

func main() {
	var c command
	parser := kong.Must(&c, kong.Description("Draws deployments and days from seeds, has them played, keeps those that break a rule."))
	if unknown := unknownFlags(parser, os.Args[1:]); len(unknown) > 0 {
		parser.Fatalf("unknown flags: %s", strings.Join(unknown, ", "))
	}
	_, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	parser.FatalIfErrorf(c.check())
	parser.FatalIfErrorf(c.run())
}

// unknownFlags returns all arguments that look like flags but are not defined.
func unknownFlags(parser *kong.Kong, arguments []string) []string {
	known := []string{"--help"}
	for _, group := range parser.Model.AllFlags(true) {
		for _, flag := range group {
			known = append(known, "--"+flag.Name)
		}
	}
	var unknown []string
	for _, argument := range arguments {
		name, _, _ := strings.Cut(argument, "=")
		if strings.HasPrefix(name, "--") && !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// check returns all errors in the flags together.
func (c *command) check() error {
	if c.Scenarios {
		return nil
	}
	var problems []error
	rejectIf := func(invalid bool, format string, values ...any) {
		if invalid {
			problems = append(problems, errorx.IllegalArgument.New(format, values...))
		}
	}
	rejectIf(c.Bench == "" && !c.Draw, "--bench is needed to play")
	rejectIf(len(c.Sites) == 0, "no site file is given")
	for _, path := range c.Sites {
		_, err := os.Stat(path)
		rejectIf(err != nil, "site file %s can't be read", path)
	}
	rejectIf(c.Days < 1, "--days is %d, must be 1 or more", c.Days)
	rejectIf(c.Jobs < 1 || c.Jobs > 64, "--jobs is %d, must be 1 to 64", c.Jobs)
	rejectIf(c.Until <= 0, "--until is %v, must be above 0", c.Until)
	names := scenariofuzz.ScenarioNames()
	rejectIf(c.Scenario != "" && !slices.Contains(names, c.Scenario), "no scenario is called %q; --scenarios lists them", c.Scenario)
	if c.Scenario != "" {
		names = []string{c.Scenario}
	}
	for _, name := range names {
		why := c.reason(c.Seed+int64(c.Days), name)
		if len(why) >= reasonLimit {
			rejectIf(true, "--why with seed and scenario has %d characters, must have fewer than %d: %s", len(why), reasonLimit, why)
			break
		}
	}
	return errors.Join(problems...)
}

// reason returns the line for the journal of one play.
func (c *command) reason(seed int64, scenario string) string {
	return fmt.Sprintf("%s (seed %d: %s)", c.Why, seed, scenario)
}

func (c *command) run() error {
	if c.Scenarios {
		fmt.Println(strings.Join(scenariofuzz.ScenarioNames(), "\n"))
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errorx.ExternalError.Wrap(err, "scratch folder")
	}
	began := time.Now()
	seeds := make(chan int64)
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var played, found, consecutiveFailures int
	var failures []error
	for range c.Jobs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range seeds {
				line, finding, err := c.play(seed)
				mutex.Lock()
				if err != nil {
					failures = append(failures, errorx.Decorate(err, "seed %d", seed))
					consecutiveFailures++
					fmt.Printf("seed %d: %v\n", seed, err)
				} else {
					played++
					consecutiveFailures = 0
					fmt.Println(line)
				}
				if finding {
					found++
				}
				mutex.Unlock()
			}
		}()
	}
	for i := range c.Days {
		mutex.Lock()
		stop := time.Since(began) > c.Until || consecutiveFailures >= maxConsecutiveFailures
		mutex.Unlock()
		if stop {
			break
		}
		seeds <- c.Seed + int64(i)
	}
	close(seeds)
	wait.Wait()
	fmt.Printf("played %d days, %d with findings, %d not played\n", played, found, len(failures))
	if len(failures) > 0 {
		return errorx.ExternalError.New("%d days could not be played, the first: %v", len(failures), failures[0])
	}
	return nil
}

// play draws, plays and judges one day. It removes the files of a day without findings.
func (c *command) play(seed int64) (line string, finding bool, err error) {
	path := c.Sites[int(uint64(seed)%uint64(len(c.Sites)))]
	text, err := os.ReadFile(path)
	if err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "site file")
	}
	drawn, err := scenariofuzz.Draw(text, seed, c.Scenario)
	if err != nil {
		return "", false, err
	}
	folder := filepath.Join(c.Out, fmt.Sprintf("seed-%d", seed))
	if err := write(folder, filepath.Dir(path), drawn); err != nil {
		return "", false, err
	}
	if c.Draw {
		return fmt.Sprintf("seed %d: %s: drawn", seed, drawn.Scenario), false, nil
	}
	report := filepath.Join(folder, "report.json")
	_ = os.Remove(report)
	bench := exec.Command(c.Bench, "run", filepath.Join(folder, "site.toml"), filepath.Join(folder, "day.toml"),
		"--jobs", "1", "--report", report, "--why", c.reason(seed, drawn.Scenario))
	bench.Dir = c.Repo
	out, playErr := bench.CombinedOutput()
	if err := os.WriteFile(filepath.Join(folder, "out.txt"), out, 0o644); err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "output")
	}
	raw, err := os.ReadFile(report)
	if err != nil {
		return "", false, errorx.ExternalError.New("no report (%v): %s", playErr, tail(string(out), 400))
	}
	r, err := scenariofuzz.ParseReport(raw)
	if err != nil {
		return "", false, err
	}
	line = fmt.Sprintf("seed %d: %s: worth %.2f served %.2f, own ends %d, slowest acknowledgement %.0f ms",
		seed, drawn.Scenario, r.Value, r.Served, r.Exits, r.AckMS)
	findings := r.Findings(drawn.AckMS())
	if len(findings) == 0 {
		_ = os.RemoveAll(folder)
		return line, false, nil
	}
	return line + "\n    " + strings.Join(findings, "\n    ") + "\n" + r.Evidence(), true, nil
}

// write writes the files of a drawn day and a copy of the site's wire file into folder. The wire file is in siteFolder.
func write(folder, siteFolder string, drawn *scenariofuzz.DrawnDay) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errorx.ExternalError.Wrap(err, "scratch folder")
	}
	wire, err := os.ReadFile(filepath.Join(siteFolder, "wire.json"))
	if err != nil {
		return errorx.ExternalError.Wrap(err, "wire file")
	}
	files := map[string][]byte{"wire.json": wire}
	for name, table := range map[string]scenariofuzz.Table{"site.toml": drawn.Site, "day.toml": drawn.Day} {
		if files[name], err = toml.Marshal(table); err != nil {
			return errorx.InternalError.Wrap(err, "%s", name)
		}
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
			return errorx.ExternalError.Wrap(err, "%s", name)
		}
	}
	return nil
}

// tail returns the last bytes of a text, at most the given number.
func tail(text string, bytes int) string {
	text = strings.TrimSpace(text)
	return text[max(0, len(text)-bytes):]
}
