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

// op is an operation on the model of the zone, a register with the address of one name: a read, a write, or a write with a prerequisite.
type op struct {
	set, prerequisite string // set: the new address, "" for a query; prerequisite: the address that the prerequisite requires, "" for none
}

// Concurrent updates, queries and transfers are linearizable.
func TestService_RandomHistories(t *testing.T) {
	c := testConfig(t, t.TempDir())
	s := startService(t, c)
	model := porcupine.Model{
		Init: func() any { return "127.0.0.2" },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(op), output.(string)
			switch {
			case in.set == "":
				return out == state, state
			case in.prerequisite != "" && in.prerequisite != state:
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
					m := setAddr(t, "hooks.example.", in.set)
					if i%3 == 0 {
						in.prerequisite = last
						rr, _ := dns.NewRR("hooks.example. 0 IN A " + last)
						m.Used([]dns.RR{rr})
						m = repack(t, m)
					}
					switch r := roundTrip(t, s.Address(), []string{"udp", "tcp"}[i%2], "ops.", c.Keys, m); r.Rcode {
					case dns.RcodeSuccess:
						out = "ok"
					case dns.RcodeNXRrset:
						out = "refused"
					default:
						t.Errorf("%v", r)
						return
					}
				case 2:
					r := roundTrip(t, s.Address(), "udp", "", nil, new(dns.Msg).SetQuestion("hooks.example.", dns.TypeA))
					out = r.Answer[0].(*dns.A).A.String()
					last = out
				case 3:
					m := new(dns.Msg).SetAxfr("example.")
					ring.Sign(m, "xfer.", time.Now().Unix())
					ch, err := (&dns.Transfer{TsigProvider: ring, ReadTimeout: testTimeout}).In(m, s.Address())
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
						if e.Error != nil && strings.Contains(e.Error.Error(), "rcode") { // refused: too many concurrent transfers
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
	if result := porcupine.CheckOperationsTimeout(model, history, testTimeout); result != porcupine.Ok {
		t.Errorf("%d operations: %v", len(history), result)
	}
	// The checker detects an inconsistent history: one answer is replaced by an address that was never set.
	for i, o := range history {
		if o.Input.(op).set == "" {
			history[i].Output = "127.9.9.9"
			break
		}
	}
	if porcupine.CheckOperationsTimeout(model, history, testTimeout) != porcupine.Illegal {
		t.Error("the checker accepts an inconsistent history")
	}
}
