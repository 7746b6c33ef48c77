// Command yard is the serving tier for agent programs: one program, whose roles are subcommands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dockshift.example/dockshift/internal/tier/settings"
	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
)

type cli struct {
	Settings string           `help:"Settings file (YAML). Default: the path in SAFFRONYARD_SETTINGS." type:"path" placeholder:"FILE"`
	LogLevel string           `help:"Least level that is logged." enum:"debug,info,warn,error" default:"info"`
	Version  kong.VersionFlag `help:"Print the version."`

	Gateway      gatewayCmd      `cmd:"" help:"Carry the traffic: take requests from clients and pass them to endpoints (edge machines)."`
	ControlPlane controlPlaneCmd `cmd:"" help:"Keep the control state: configuration, endpoints, the map of turn stores (core machines)."`
	TurnStore    turnStoreCmd    `cmd:"" help:"Keep turns and budgets (storage machines)."`
	Check        checkCmd        `cmd:"" help:"Check a settings file, or a configuration, and print every finding with its place."`
	Status       statusCmd       `cmd:"" help:"Show what a control-plane process is and knows: primary, epoch, sessions, map of turn stores."`
	Demo         demoCmd         `cmd:"" help:"Play a small tier whole on loopback, calm and with trouble, and check what it promises."`
	Simulate     simulateCmd     `cmd:"" help:"Play the whole tier in virtual time with faults drawn from seeds, and check what it promises."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("yard"), kong.Description("The saffronyard serving tier for agent programs."),
		kong.UsageOnError(), kong.Vars{"version": version()})
	if err := k.Run(&c); err != nil {
		fmt.Fprintln(os.Stderr, "yard:", err)
		os.Exit(1)
	}
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return "yard " + s.Value
			}
		}
		return "yard " + info.Main.Version
	}
	return "yard"
}

// start reads the settings, limits the heap to the machine's memory, and gives a context that ends on SIGTERM or SIGINT.
// SIGHUP reads the settings again: what they tell is used at the next start; what is wrong in them is logged.
func (c *cli) start() (context.Context, settings.Settings, *log.Logger, error) {
	l := &log.Logger{Level: log.ParseLevel(c.LogLevel), Writer: &log.IOWriter{Writer: os.Stderr}, TimeFormat: "15:04:05.000"}
	l.Writer = &log.ConsoleWriter{Writer: os.Stderr, Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter}
	path := c.Settings
	if path == "" {
		path = settings.Path()
	}
	s, err := settings.Load(path)
	if err != nil {
		return nil, s, l, err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 7 / 10)
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	go func() {
		for range again {
			if _, err := settings.Load(path); err != nil {
				l.Error().Str("event", "settings").Err(err).Msg("")
				continue
			}
			l.Info().Str("event", "settings_read").Msg("")
		}
	}()
	return ctx, s, l, nil
}
