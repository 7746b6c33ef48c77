package sender

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// batchIDSuffixBytes is the bytes that the position in a batch may add to an id.
const batchIDSuffixBytes = 8

// eventResult is the result for an event of a batch: an element of the JSON array that answers the batch.
type eventResult struct {
	Source       string `json:"source,omitempty"`
	ID           string `json:"id,omitempty"`
	MessageID    string `json:"message,omitempty"` // id of the message, to which notices to the platform refer
	Status       int    `json:"status"`
	Text         string `json:"text,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`

	submitted bool
}

// batchSubmissions gives the submissions of the valid events of a batch. The errors of the others are in the results.
func (h *eventRequest) batchSubmissions(body []byte, arrived time.Duration) ([]submission, error) {
	items, err := cloudevents.ReadBatch(body, h.ingress.events.MaxBatchEvents, maxBodyBytes)
	if err != nil {
		return nil, eventError(err)
	}
	var subs []submission
	for n, item := range items {
		var a eventResult
		err := item.Err
		if err != nil {
			err = eventError(err)
		} else {
			a.Source, a.ID = item.Event.Get("source"), item.Event.Get("id")
			var sub submission
			id := ""
			if h.id != "" {
				id = h.id + "-" + strconv.Itoa(n)
			}
			if sub, err = h.ingress.submission(item.Event, arrived, id); err == nil {
				subs = append(subs, sub)
				a.submitted = true
			}
		}
		var r *requestError
		if errors.As(err, &r) {
			a.Status, a.Text = r.status, r.text
		}
		h.results = append(h.results, a)
	}
	return subs, nil
}

// batchStatus is the status of a batch derived from those of its events, for a client that looks at nothing else. If an event may be
// submitted again, so may the batch: events that were accepted are recognized by their identity and get the same answer. Otherwise, if
// an event failed, the batch has failed, so that no failed event passes for an accepted one. The batch succeeds only if all events are
// accepted.
func batchStatus(events []eventResult) int {
	status := http.StatusOK
	for _, e := range events {
		switch {
		case e.Status == http.StatusServiceUnavailable:
			return e.Status
		case e.Status >= 300:
			status = max(status, e.Status)
		case status < 300:
			status = max(status, e.Status)
		}
	}
	return status
}
