package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Sizes of the case truncated: one endpoint of eight is an eighth, below the share of 0.15 that kinds names for srv_crash.
const (
	unframedEndpoints = 8
	unframedRequests  = 48
)

// truncated kills an endpoint process while it writes answers that have no length, and checks that no client gets a part of an answer as a
// complete success.
func truncated(record io.Writer, trouble bool) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannot
	}
	defer os.RemoveAll(dir)
	p, err := startPlatform(0, 0)
	if err != nil {
		return cannot
	}
	var children []*child
	defer func() {
		for _, c := range children {
			c.kill()
		}
	}()
	for i := range unframedEndpoints {
		instance := fmt.Sprintf("i-ledger-%d", i)
		c, err := startChild(instance, record)
		if err != nil {
			return cannot
		}
		children = append(children, c)
		p.list = append(p.list, entry(instance, "tool", c.address, i))
	}
	t, err := newTier(dir, p.address, 4, 4, 3)
	if err != nil {
		return cannot
	}
	defer t.killAll()
	if err := t.startAll(); err != nil || !t.configure(context.Background(), 20*time.Second) {
		return cannot
	}
	var requests sync.WaitGroup
	var mu sync.Mutex
	served, parts := 0, 0
	for i := range unframedRequests {
		path := []string{"/look/", "/act/"}[i%2]
		attempt := fmt.Sprintf("card-%02d", i)
		requests.Go(func() {
			status, signature, body, err := plainRequest(t.at(t.gateways[i%len(t.gateways)], frontendPort), path, attempt)
			whole := body == wholeAnswer(attempt)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(record, "client: %s%s answered %d, signature %q, %d of %d bytes, error %v\n", path, attempt, status, signature, len(body), len(wholeAnswer(attempt)), err)
			switch {
			case status/100 == 2 && err == nil && whole:
				served++
			case status/100 == 2 && err == nil:
				parts++
				fmt.Fprintf(record, "BROKEN MIXED: %s%s got a success whose body is a part of the endpoint's body: %q\n", path, attempt, body)
			}
		})
	}
	time.Sleep(unframedPart / 2)
	if trouble {
		fmt.Fprintln(record, "trouble: endpoint i-ledger-0 is killed (SIGKILL)")
		children[0].kill()
	}
	requests.Wait()
	fmt.Fprintf(record, "%d of %d requests served whole, %d with a part as a success\n", served, unframedRequests, parts)
	switch {
	case parts > 0:
		return broken
	case served < unframedRequests/2 || !trouble && served < unframedRequests:
		return cannot
	}
	return held
}

// plainRequest sends one request that is not a turn, and reads its answer.
func plainRequest(address, path, attempt string) (status int, signature, body string, err error) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path+"x", strings.NewReader("card"))
	if err != nil {
		return 0, "", "", err
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Response-Signature"), string(all), err
}
