// Command fuzzdays plays days of deployments that nobody has seen and keeps those that break a rule.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"dockshift.example/dockshift/internal/rehearsal/fuzzdays"
)

type cli struct {
	Bench string        `required:"" type:"path" help:"Program that plays a day: PROGRAM run SITE DAY --report FILE."`
	Repo  string        `default:"." type:"path" help:"Repository that is played; its journal gets the entries."`
	Out   string        `default:"/tmp/fuzzdays" type:"path" help:"Scratch folder for site and day files."`
	Seed  int64         `default:"1" help:"First seed."`
	Days  int           `default:"20" help:"Number of days."`
	Jobs  int           `default:"3" help:"Plays at a time."`
	Until time.Duration `default:"25m" help:"Start no play after this span."`
	Draw  bool          `help:"Only write the files."`
	Why   string        `default:"Fieldtrip: drawn deployments and days, to find broken rules" help:"Line for the journal."`
	Sites []string      `arg:"" type:"existingfile" help:"Site files to edit copies of."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Description("Draws deployments and days from seeds, has them played, keeps those that break a rule."))
	ctx.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errorx.ExternalError.Wrap(err, "scratch folder")
	}
	began := time.Now()
	seeds := make(chan int64)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var played, broken int
	var failed error
	for range c.Jobs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range seeds {
				line, bad, err := c.trip(seed)
				mu.Lock()
				if err != nil {
					fmt.Printf("seed %d: %v\n", seed, err)
					failed = err
				} else {
					played++
					fmt.Println(line)
				}
				if bad {
					broken++
				}
				mu.Unlock()
			}
		}()
	}
	for i := range c.Days {
		if time.Since(began) > c.Until {
			break
		}
		seeds <- c.Seed + int64(i)
	}
	close(seeds)
	wait.Wait()
	fmt.Printf("played %d days, %d with findings\n", played, broken)
	return failed
}

// trip draws, plays and judges one day; a clean day's files are removed.
func (c *cli) trip(seed int64) (line string, bad bool, err error) {
	path := c.Sites[int(uint64(seed)%uint64(len(c.Sites)))]
	text, err := os.ReadFile(path)
	if err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "site file")
	}
	trip, err := fuzzdays.Draw(text, seed)
	if err != nil {
		return "", false, err
	}
	folder := filepath.Join(c.Out, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "scratch folder")
	}
	site, day, report := filepath.Join(folder, "site.toml"), filepath.Join(folder, "day.toml"), filepath.Join(folder, "report.json")
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(path), "wire.json"))
	if err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "wire file")
	}
	if err := os.WriteFile(filepath.Join(folder, "wire.json"), wire, 0o644); err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "wire file")
	}
	for name, table := range map[string]fuzzdays.Table{site: trip.Site, day: trip.Day} {
		raw, err := toml.Marshal(table)
		if err == nil {
			err = os.WriteFile(name, raw, 0o644)
		}
		if err != nil {
			return "", false, errorx.ExternalError.Wrap(err, "%s", name)
		}
	}
	if c.Draw {
		return fmt.Sprintf("seed %d: %s: drawn", seed, trip.Focus), false, nil
	}
	_ = os.Remove(report)
	play := exec.Command(c.Bench, "run", site, day, "--jobs", "1", "--report", report, "--why", fmt.Sprintf("%s (seed %d: %s)", c.Why, seed, trip.Focus))
	play.Dir = c.Repo
	out, runErr := play.CombinedOutput()
	if err := os.WriteFile(filepath.Join(folder, "out.txt"), out, 0o644); err != nil {
		return "", false, errorx.ExternalError.Wrap(err, "output")
	}
	raw, err := os.ReadFile(report)
	if err != nil {
		return "", false, errorx.ExternalError.New("no report (%v): %s", runErr, last(string(out), 400))
	}
	r, err := fuzzdays.ParseReport(raw)
	if err != nil {
		return "", false, err
	}
	findings := r.Findings(trip.AckMS())
	line = fmt.Sprintf("seed %d: %s: worth %.2f served %.2f, slowest ack %.0f ms", seed, trip.Focus, r.Worth, r.Served, r.AckMS)
	if len(findings) == 0 {
		_ = os.RemoveAll(folder)
		return line, false, nil
	}
	return line + "\n    " + strings.Join(findings, "\n    ") + "\n" + r.Evidence(), true, nil
}

func last(s string, n int) string {
	s = strings.TrimSpace(s)
	if len(s) > n {
		s = s[len(s)-n:]
	}
	return s
}
