package day

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// hosts allocates loopback addresses, each only once, so that no other listener takes a port between its close and its reopening.
// Days that run at the same time start at different addresses.
type hosts struct {
	mu      sync.Mutex
	last    uint32
	senders []string
}

func newHosts() *hosts {
	// The start is an address in 127.64.0.0 to 127.255.0.0, chosen by the process ID and the time.
	block := (uint32(os.Getpid())*2654435761 ^ uint32(time.Now().UnixNano())) % (190 << 16)
	return &hosts{last: 127<<24 | 64<<16 + block}
}

func (h *hosts) next() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	if h.last&0xff == 0 || h.last&0xff == 0xff {
		h.last += 2
	}
	return fmt.Sprintf("127.%d.%d.%d", 64+(h.last>>16&0xff)%190, h.last>>8&0xff, h.last&0xff)
}

// sender returns the host of a sender, which stays the same for the whole day.
func (h *hosts) sender(i int) string {
	for {
		h.mu.Lock()
		if i < len(h.senders) {
			defer h.mu.Unlock()
			return h.senders[i]
		}
		h.mu.Unlock()
		next := h.next()
		h.mu.Lock()
		h.senders = append(h.senders, next)
		h.mu.Unlock()
	}
}

// hostSlot is the placeholder in a day's features for the address of another sender: {n1} for its host, {n1:7948} for its port
// through the link between the two senders.
var hostSlot = regexp.MustCompile(`\{n(\d+)(?::(\d+))?\}`)

// reachSlot is the placeholder for tables with the addresses through which a sender reaches ports of all other senders, TCP and UDP, by
// links: {reach peers 7946 7947} becomes [[peers.reach]] tables.
var reachSlot = regexp.MustCompile(`\{reach (\w+)((?: \d+)+)\}`)

// features writes the features file of a sender and returns the arguments that pass it. It returns none if the day has no features.
func (d *Day) features(i int) (args []string, err error) {
	if d.featuresText == "" {
		return nil, nil
	}
	text := reachSlot.ReplaceAllStringFunc(d.featuresText, func(match string) string {
		parts := reachSlot.FindStringSubmatch(match)
		var b strings.Builder
		for to := range d.plan.MaxSenders() {
			for _, port := range strings.Fields(parts[2]) {
				if to == i {
					continue
				}
				addr := d.hosts.sender(to) + ":" + port
				link, linkErr := d.links.LinkBoth(name(i), name(to), addr)
				if linkErr != nil {
					err = linkErr
				}
				fmt.Fprintf(&b, "[[%s.reach]]\naddress = %q\nvia = %q\n", parts[1], addr, link)
			}
		}
		return b.String()
	})
	text = hostSlot.ReplaceAllStringFunc(text, func(match string) string {
		parts := hostSlot.FindStringSubmatch(match)
		to, _ := strconv.Atoi(parts[1])
		host := d.hosts.sender(to)
		if parts[2] == "" {
			return host
		}
		addr := host + ":" + parts[2]
		if to != i {
			link, linkErr := d.links.Link(name(i), name(to), addr)
			if linkErr != nil {
				err = linkErr
			}
			addr = link
		}
		return addr
	})
	if err != nil {
		return nil, err
	}
	path, err := filepath.Abs(filepath.Join(d.options.Folder, "features-"+name(i)+".toml"))
	if err == nil {
		err = os.WriteFile(path, []byte(text), 0o644)
	}
	if err != nil {
		return nil, fmt.Errorf("write features file: %w", err)
	}
	return []string{"-features", path}, nil
}

func name(sender int) string { return "n" + strconv.Itoa(sender) }
