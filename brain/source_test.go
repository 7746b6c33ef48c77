package brain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSource_LineWidth(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > 110 {
				t.Errorf("%s:%d has %d characters", file, i+1, n)
			}
		}
	}
}
