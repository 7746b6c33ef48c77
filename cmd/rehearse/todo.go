package main

import (
	"context"
	"errors"
	"io"
)

const wrongCommand = "wrong-sender"

func up(context.Context, []string, io.Writer, io.Writer) (int, error) {
	return 2, errors.New("not yet")
}
func selftest(context.Context, []string, io.Writer, io.Writer) (int, error) {
	return 2, errors.New("not yet")
}
func wrongSender(context.Context, []string, io.Writer, io.Writer) (int, error) {
	return 2, errors.New("not yet")
}
