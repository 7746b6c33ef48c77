package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os/user"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/sender"
)

// errNoState reports that a command needs a running sender and no state folder is set.
var errNoState = errors.New("no state folder: set --state or EDGE_STATE")

// senderClient sends the requests of a command to a running sender and prints the answers. Its fields are the flags that all fleet,
// policy, limits and verdicts commands take.
type senderClient struct {
	state   string // the sender's state folder, where its socket is
	json    bool   // print JSON in place of text
	current bool   // reads are linearizable: a majority confirms that they are no older than the request
}

// request sends a request in the name of the user who runs the command and decodes the JSON answer into a value.
func (s *senderClient) request(method, path string, body []byte, into any) error {
	if s.state == "" {
		return usageError{errNoState}
	}
	name := ""
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	raw, err := requestFromSocketAs(method, filepath.Join(s.state, sender.SocketName), path, name, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// report fetches the sender's report on the fleet.
func (s *senderClient) report() (r fleet.Report, err error) {
	path := "/fleet"
	if s.current {
		path += "?current=1"
	}
	return r, s.request(http.MethodGet, path, nil, &r)
}

// print writes v as JSON, or calls text to write it as text, in which tabs align columns.
func (s *senderClient) print(c *cobra.Command, v any, text func(w io.Writer)) error {
	if s.json {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 2, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}
