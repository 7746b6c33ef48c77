package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// folder is the folder of the shipped scripts, relative to the root of the source tree.
const folder = "rehearsals"

// listScripts prints the scripts of a folder and of its subfolders: the days and the overlays for them.
func listScripts(_ context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("list [FOLDER]", errs)
	if err := parse(f, args); err != nil {
		return 0, err
	}
	dir := f.Arg(0)
	if dir == "" {
		dir = folder
		if _, err := os.Stat(dir); err != nil {
			root, err := sources()
			if err != nil {
				return judge.ExitScript, badArgument("no folder %s here: pass the folder as the argument", folder)
			}
			dir = filepath.Join(root, folder)
		}
	}
	var paths []string
	for _, pattern := range []string{"*.toml", "*/*.toml"} {
		found, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return judge.ExitScript, err
		}
		slices.Sort(found)
		paths = append(paths, found...)
	}
	if len(paths) == 0 {
		return judge.ExitScript, badArgument("no scripts in %s", dir)
	}
	code := 0
	for _, p := range paths {
		s, err := script.Load(p)
		if err != nil {
			fmt.Fprintln(errs, programName+":", err)
			code = judge.ExitScript
			continue
		}
		kind := "laid over a day"
		if s.Day != nil {
			kind = fmt.Sprintf("%.0f s", s.Day.Seconds)
		}
		fmt.Fprintf(out, "%-38s %-16s %s\n", p, kind, s.About)
	}
	return code, nil
}
