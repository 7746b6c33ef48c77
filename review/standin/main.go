// Package main plays cases of the review against real processes of the tier on loopback addresses.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

func main() {
	runtime.LockOSThread() // processes that are started end with the thread that started them
	cases := map[string]func(record io.Writer, trouble bool) int{"truncated": truncated, "retention": retention}
	switch {
	case len(os.Args) == 3 && os.Args[1] == "endpoint":
		os.Exit(serveUnframed(os.Args[2]))
	case len(os.Args) == 3 && cases[os.Args[1]] != nil:
		record, err := os.Create(os.Args[2])
		if err != nil {
			fmt.Println(err)
			os.Exit(cannot)
		}
		code := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
		_, _ = fmt.Fprintf(record, "exit %d: 1 is broken, 0 held, 2 could not run\n", code)
		_ = record.Close()
		os.Exit(code)
	}
	fmt.Println("usage: standin CASE RECORD")
	os.Exit(cannot)
}
