package nameserver

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/miekg/dns"
)

// The zone as porcupine is told of it: one address of one name; an update sets it, or sets it if it is as named.
type op struct {
	set, only string // set: the new address, "" for a question; only: the prerequisite, "" for none
}

// Concurrent updates, questions and transfers are as if each came at one moment between its sending and its answer.
func TestService_RandomHistories(t *testing.T) {
	c := updated(t, t.TempDir())
	s := begun(t, c)
	model := porcupine.Model{
		Init: func() any { return "127.0.0.2" },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(op), output.(string)
			switch {
			case in.set == "":
				return out == state, state
			case in.only != "" && in.only != state:
				return out == "refused", state
			}
			return out == "ok", in.set
		},
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var group sync.WaitGroup
	for client := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			ring := NewKeyring(c.Keys)
			last := "127.0.0.2"
			for i := range 25 {
				var in op
				var out string
				call := time.Since(begin).Nanoseconds()
				switch (client + i) % 4 {
				case 0, 1:
					in = op{set: fmt.Sprintf("127.1.%d.%d", client, i)}
					m := replaceWith(t, "hooks.example.", in.set)
					if i%3 == 0 {
						in.only = last
						rr, _ := dns.NewRR("hooks.example. 0 IN A " + last)
						m.Used([]dns.RR{rr})
						m = wired(t, m)
					}
					switch r := asked(t, s.Address(), []string{"udp", "tcp"}[i%2], "ops.", c.Keys, m); r.Rcode {
					case dns.RcodeSuccess:
						out = "ok"
					case dns.RcodeNXRrset:
						out = "refused"
					default:
						t.Errorf("%v", r)
						return
					}
				case 2:
					r := asked(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA))
					out = r.Answer[0].(*dns.A).A.String()
					last = out
				case 3:
					m := new(dns.Msg).SetAxfr("example.")
					ring.Sign(m, "xfer.", time.Now().Unix())
					ch, err := (&dns.Transfer{TsigProvider: ring, ReadTimeout: wait}).In(m, s.Address())
					if err != nil {
						t.Error(err)
						return
					}
					for e := range ch {
						for _, rr := range e.RR {
							if a, ok := rr.(*dns.A); ok && a.Hdr.Name == "hooks.example." {
								out = a.A.String()
							}
						}
						if e.Error != nil && strings.Contains(e.Error.Error(), "rcode") { // more transfers at once than are given
							out = "none"
						}
					}
					if out == "none" || out == "" {
						continue
					}
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(begin).Nanoseconds()})
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	if len(history) < 100 {
		t.Fatalf("%d operations", len(history))
	}
	if result := porcupine.CheckOperationsTimeout(model, history, wait); result != porcupine.Ok {
		t.Errorf("%d operations: %v", len(history), result)
	}
	// The checker can fail: one answer is another.
	for i, o := range history {
		if o.Input.(op).set == "" {
			history[i].Output = "127.9.9.9"
			break
		}
	}
	if porcupine.CheckOperationsTimeout(model, history, wait) != porcupine.Illegal {
		t.Error("a wrong history passes")
	}
}

// ---- Those who do not mean well
