// Command simulator-adapter hosts instances of the decision module on the simulator's wire: batches come on
// standard input, replies go to standard output. It translates and decides nothing.
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

// run serves batches until the input ends. Its errors tell the number of the batch, from 0.
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
