package controlplane

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Reasons for which a body was not read. Their texts are sent to operators.
var (
	errBodyTooLarge   = errors.New("the body is too large")
	errBodyIncomplete = errors.New("the body did not come whole")
)

// readBody reads a body of at most limit bytes up to its end. The error is errBodyTooLarge or errBodyIncomplete.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	tooLarge := fmt.Errorf("%w: it has more than %d bytes", errBodyTooLarge, limit)
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, tooLarge
	}
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge
	case err != nil, r.ContentLength >= 0 && int64(b.Len()) != r.ContentLength:
		return nil, errBodyIncomplete
	}
	return b.Bytes(), nil
}

// bodyErrorResponse is the response to a call for which readBody has failed.
func bodyErrorResponse(err error) response {
	if errors.Is(err, errBodyTooLarge) {
		return errorResponse(http.StatusRequestEntityTooLarge, err.Error())
	}
	return errorResponse(http.StatusBadRequest, err.Error())
}

// discardBody reads a body that is not used, up to maxRequestBody, so that unread data does not reset the connection and lose
// the response.
func discardBody(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBody))
}
