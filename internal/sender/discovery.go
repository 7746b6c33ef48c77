package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	watchWait  = 20 * time.Second       // a watch call waits so long for news
	answerTime = 2 * time.Second        // and an answer takes no longer than this besides
	noticeTime = 500 * time.Millisecond // notices are answered at once, or the connection says nothing any more
	backOff    = 100 * time.Millisecond // first pause after a failure; doubles
	backOffTop = 2 * time.Second
	noticeMost = 256     // notices in one call
	maxList    = 8 << 20 // bytes of a list
)

// Target is an endpoint in discovery's list.
type Target struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   uint32  `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Targets is discovery's answer.
type Targets struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// discovery speaks with the platform: the list and its changes, and notices.
type discovery struct {
	base   string
	client *http.Client
}

func newDiscovery(addr string) *discovery {
	return &discovery{base: "http://" + addr, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: watchWait + answerTime},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}}}
}

// pause waits after the n-th failure in a row, a little less or more each time; false if ctx ended.
func pause(ctx context.Context, n int) bool {
	d := min(backOff<<min(n-1, 10), backOffTop)
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// list asks for the whole list, or after a version for what is newer, waiting for it.
func (d *discovery) list(ctx context.Context, after int64) (Targets, error) {
	var t Targets
	url, limit := d.base+"/api/targets", answerTime
	if after >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", after, watchWait.Milliseconds())
		limit += watchWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return t, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return t, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
		return t, fmt.Errorf("discovery answers %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return t, err
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, fmt.Errorf("discovery's list: %w", err)
	}
	return t, nil
}

// watch follows the list from a version on, -1 for none, until a call fails; then it returns. The next
// call goes out as soon as an answer is passed on: a gap would end the watch.
func (d *discovery) watch(ctx context.Context, version int64, news func(Targets)) error {
	for {
		t, err := d.list(ctx, version)
		if err != nil {
			return err
		}
		version = t.Version
		news(t)
	}
}

// follow watches when the Brain asks for it. After a failure the list is asked for whole, as changes may
// have been missed; the Brain decides when, and failures in a row are told to it ever later.
func (d *discovery) follow(ctx context.Context, version int64, asked <-chan struct{}, news func(Targets), failed func(error)) {
	failures := 0
	for {
		select {
		case <-asked:
		case <-ctx.Done():
			return
		}
		err := d.watch(ctx, version, func(t Targets) {
			failures = 0
			news(t)
		})
		version = -1
		if failures++; failures > 1 && !pause(ctx, failures-1) || ctx.Err() != nil {
			return
		}
		failed(err)
	}
}

// notice is a line on a message that was taken on and not delivered.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"`
}

// tell posts notices until they are taken.
func (d *discovery) tell(ctx context.Context, notices <-chan []notice, told func([]notice)) {
	for {
		var batch []notice
		select {
		case batch = <-notices:
		case <-ctx.Done():
			return
		}
		var lines bytes.Buffer
		enc := json.NewEncoder(&lines)
		for _, n := range batch {
			enc.Encode(n) // strings and numbers only: it cannot fail
		}
		for failures := 0; ; {
			if d.post(ctx, lines.Bytes()) == nil {
				told(batch)
				break
			}
			if failures++; !pause(ctx, failures) {
				return
			}
		}
	}
}

func (d *discovery) post(ctx context.Context, lines []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.base+"/v1/notices", bytes.NewReader(lines))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("notices are answered %s", resp.Status)
	}
	return nil
}
