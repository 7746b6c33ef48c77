// Package cli is the command line of the serving tier for agent programs: one program, whose roles are subcommands.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/logformat"
	"saffronyard.example/saffronyard/internal/tier/settings"
)

// commandLine holds the flags and subcommands of the program.
type commandLine struct {
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

// programName is the name of the program in its usage and its messages.
const programName = "serving-tier"

// programDescription describes the program in its help.
const programDescription = "The saffronyard serving tier for agent programs. Its former name, yard, works for one more release."

// Main parses the arguments of the process and runs the subcommand that they name. It ends the process with exit code 1 if the
// subcommand fails.
func Main() {
	var flags commandLine
	parsed := kong.Parse(&flags, kong.Name(programName), kong.Description(programDescription),
		kong.UsageOnError(), kong.Vars{"version": version()})
	if err := parsed.Run(&flags); err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		os.Exit(1)
	}
}

// version returns the revision that the program was built from, or the module's version if the revision is unknown.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return programName + " " + setting.Value
			}
		}
		return programName + " " + info.Main.Version
	}
	return programName
}

// settingsPath returns the path of the settings file.
func (flags *commandLine) settingsPath() string {
	if flags.Settings != "" {
		return flags.Settings
	}
	return settings.Path()
}

// start reads the settings, limits the heap to a part of the machine's memory, and returns a context that ends on SIGTERM or
// SIGINT. Until the process ends, each SIGHUP checks the settings file.
func (flags *commandLine) start() (context.Context, settings.Settings, *log.Logger, error) {
	logger := logformat.New(os.Stderr, log.ParseLevel(flags.LogLevel))
	path := flags.settingsPath()
	loaded, err := settings.Load(path)
	if err != nil {
		return nil, loaded, logger, err
	}
	if loaded.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(loaded.MemoryMB) << 20 * 7 / 10)
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go checkOnReload(reload, path, logger)
	return ctx, loaded, logger, nil
}

// checkOnReload reads the settings at each SIGHUP and logs their findings. Changed settings take effect at the next start.
func checkOnReload(reload <-chan os.Signal, path string, logger *log.Logger) {
	for range reload {
		if _, err := settings.Load(path); err != nil {
			logger.Error().Str("event", "settings").Err(err).Msg("settings file is invalid; the current settings stay in use")
			continue
		}
		logger.Info().Str("event", "settings_read").Msg("settings file is valid; it takes effect at the next start")
	}
}
