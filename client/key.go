package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// watchWait is how long the control plane waits for a put in one call of a watch.
const watchWait = 2 * time.Second

// Event is a put of a key.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"etag"`
}

// ConflictError says that a key has another revision than a put requires: Revision, or 0 if the key does not exist. The put has not
// taken effect and never will.
type ConflictError struct{ Revision uint64 }

// Error implements error.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("client: the key has revision %d", err.Revision)
}

// NextNumber returns a number greater than all that were returned before for the name.
func (c *Client) NextNumber(ctx context.Context, name string) (uint64, error) {
	r, err := c.post(ctx, "numbers", name, struct{}{})
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK {
		return 0, r.statusError()
	}
	var number struct {
		Value uint64 `json:"value"`
	}
	return number.Value, r.decode(&number)
}

// putBody is the body of a put.
type putBody struct {
	Value      string  `json:"value"`
	IfRevision *uint64 `json:"enabled,omitempty"`
}

// Put sets a key regardless of its revision, and returns the new revision.
func (c *Client) Put(ctx context.Context, name, value string) (revision uint64, err error) {
	return c.put(ctx, name, putBody{Value: value})
}

// PutIf sets a key if it has the given revision; with revision 0, if it does not exist. The error is a ConflictError, a
// StatusError, or that of ctx.
func (c *Client) PutIf(ctx context.Context, name, value string, revision uint64) (newRevision uint64, err error) {
	return c.put(ctx, name, putBody{value, &revision})
}

func (c *Client) put(ctx context.Context, name string, body putBody) (uint64, error) {
	r, err := c.post(ctx, "Cells.Replace", name, body)
	if err != nil {
		return 0, err
	}
	var written struct {
		ETag uint64 `json:"etag"`
	}
	if r.status != http.StatusOK && r.status != http.StatusPreconditionFailed {
		return 0, r.statusError()
	}
	if err := r.decode(&written); err != nil {
		return 0, err
	}
	if r.status == http.StatusPreconditionFailed {
		return 0, &ConflictError{written.ETag}
	}
	return written.ETag, nil
}

// Get reads a key. The error is ErrKeyMissing, a StatusError, or that of ctx.
func (c *Client) Get(ctx context.Context, name string) (Event, error) {
	r, err := c.call(ctx, http.MethodGet, "Cells.Describe/"+url.PathEscape(name), nil, c.config.AttemptTimeout)
	switch {
	case err != nil:
		return Event{}, err
	case r.status == http.StatusNotFound:
		return Event{}, ErrKeyMissing
	case r.status != http.StatusOK:
		return Event{}, r.statusError()
	}
	event := Event{Name: name}
	return event, r.decode(&event)
}

// watchReply is the body of a response to a watch.
type watchReply struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"etag"`
}

// Revision returns the current revision of a group. The name of a group is the part of its keys' names up to and including the
// first dot.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	r, err := c.watchOnce(ctx, group, 0)
	return r.Revision, err
}

// emptyGroupInterval is how often Watch polls the revision of a group without a put, for which the control plane answers at once.
const emptyGroupInterval = 200 * time.Millisecond

// Watch calls onEvent with each put of a group above the revision after, in order, until ctx ends, onEvent returns an error, or the
// history of the group begins after that revision (ErrHistoryGone). With revision 0 it begins with the puts made after the call.
func (c *Client) Watch(ctx context.Context, group string, after uint64, onEvent func(Event) error) error {
	for {
		r, err := c.watchOnce(ctx, group, after)
		if err != nil {
			return err
		}
		for _, event := range r.Events {
			if err := onEvent(event); err != nil {
				return err
			}
		}
		if after = max(after, r.Revision); after == 0 {
			select {
			case <-time.After(emptyGroupInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// watchOnce makes one call of a watch.
func (c *Client) watchOnce(ctx context.Context, group string, after uint64) (watchReply, error) {
	path := fmt.Sprintf("watch/%s?after=%d&wait_time_ms=%d", url.PathEscape(group), after, watchWait.Milliseconds())
	r, err := c.call(ctx, http.MethodGet, path, nil, watchWait+c.config.AttemptTimeout)
	switch {
	case err != nil:
		return watchReply{}, err
	case r.status == http.StatusGone:
		return watchReply{}, ErrHistoryGone
	case r.status != http.StatusOK:
		return watchReply{}, r.statusError()
	}
	var body watchReply
	return body, r.decode(&body)
}
