package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"saffronyard.example/saffronyard/client"
)

// exampleServer is a fake control plane: it grants each lock with fence 41, and has a group of keys at revision 930 with one put to
// follow.
func exampleServer() (address string, closeServer func()) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case strings.Contains(r.URL.Path, "/Locks.Create/"):
			fmt.Fprint(w, `{"fence":41}`)
		case r.URL.Query().Get("after") == "0":
			fmt.Fprint(w, `{"events":[],"etag":930}`)
		case r.URL.Query().Get("after") == "930":
			fmt.Fprint(w, `{"events":[{"name":"scripts.greeting","value":"v7","etag":931}],"etag":931}`)
		default:
			fmt.Fprint(w, `{}`)
		}
	}))
	return strings.TrimPrefix(server.URL, "http://"), server.Close
}

// Only one worker at a time runs a batch. The ledger rejects a fencing token that is lower than the highest it has seen.
func ExampleClient_Acquire() {
	address, closeServer := exampleServer()
	defer closeServer()
	c, err := client.New(client.Config{Addresses: []string{address}})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	lock, err := c.Acquire(ctx, "redemption-batch", "worker-7", 5*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("writes to the ledger under fence", lock.Fence())
	fmt.Println("released:", lock.Release(ctx) == nil)
	// Output:
	// writes to the ledger under fence 41
	// released: true
}

// One of several processes is the leader; the others wait until it releases the lock or the lock expires.
func ExampleClient_Lead() {
	address, closeServer := exampleServer()
	defer closeServer()
	c, err := client.New(client.Config{Addresses: []string{address}})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = c.Lead(context.Background(), "export-leader", "host-3", 5*time.Second, func(_ context.Context, lock *client.Lock) error {
		fmt.Println("leads:", lock.Valid())
		return nil
	})
	fmt.Println("ended:", err == nil)
	// Output:
	// leads: true
	// ended: true
}

// Watches all changes of a group of keys from now on, and stops after the first.
func ExampleClient_Watch() {
	address, closeServer := exampleServer()
	defer closeServer()
	c, err := client.New(client.Config{Addresses: []string{address}})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx := context.Background()
	revision, err := c.Revision(ctx, "scripts.")
	if err != nil {
		fmt.Println(err)
		return
	}
	errEnough := errors.New("enough")
	err = c.Watch(ctx, "scripts.", revision, func(event client.Event) error {
		fmt.Printf("%s is %s at %d\n", event.Name, event.Value, event.Revision)
		return errEnough
	})
	fmt.Println(err)
	// Output:
	// scripts.greeting is v7 at 931
	// enough
}
