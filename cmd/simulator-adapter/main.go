// Command simulator-adapter hosts instances of the decision module for the simulator: it reads batches of the wire protocol from
// standard input and writes replies to standard output. It only translates and makes no decisions.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends. Its errors contain the number of the batch, counted from 0.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	h := newHost()
	for n := 0; ; n++ {
		more, err := h.serveBatch(r, w)
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if !more {
			return nil
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}
