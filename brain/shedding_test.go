package brain

import "testing"

func TestShedLoad_NearlyFull(t *testing.T) {
	set := settings()
	set.MaxPending = 10
	r := newRig(t, set)
	for range 12 {
		r.step(r.message(2, 9, 0))
	}
	if len(r.rejected) == 0 || r.b.pending > 10 {
		t.Fatalf("%d rejected, %d pending", len(r.rejected), r.b.pending)
	}
}

// Messages that are resumed after a restart must be sent: when they took up all capacity, the newest of them were rejected
// without a call, like new messages.
func TestShedLoad_SparesResumedMessages(t *testing.T) {
	set := settings()
	set.MaxPending = 20
	r := newRig(t, set)
	var events []Event
	for n := range set.MaxPending {
		m := r.message(n%3, DestinationID(n%3), 0)
		m.Resumed = true
		events = append(events, m)
	}
	sends := r.step(events...)
	fresh := r.message(0, 0, 0)
	sends = append(sends, r.step(fresh)...)
	if !r.rejected[fresh.ID] {
		t.Error("a new message is accepted without free capacity")
	}
	for n := 0; len(sends) > 0; n++ {
		s := sends[0]
		r.now += 20 * ms
		sends = append(sends[1:], r.step(r.result(s, Served))...)
	}
	if want := set.MaxPending; len(r.attempts) != want || len(r.rejected) != 1 || len(r.failed) != 0 {
		t.Errorf("%d of %d messages are sent, %d rejected, %d failed", len(r.attempts), want, len(r.rejected), len(r.failed))
	}
}

// A tenant that surged raised its own share, and messages of the other tenants were rejected with its own.
func TestShedLoad_SurgingTenantFirst(t *testing.T) {
	set := settings()
	set.MaxPending = 60
	set.OverShareValue = 0.05
	set.Tenants = []Tenant{{Allowance: 10}, {Allowance: 10}, {Allowance: 10}}
	r := newRig(t, set)
	tenantOf := map[MessageID]int{}
	for i := range 400 {
		m := r.message(2, 9, 0)
		if i%10 < 2 {
			m.Tenant = 1 + i%2
		}
		tenantOf[m.ID] = m.Tenant
		r.step(m)
		r.now += 10 * ms
	}
	others := 0
	for id := range r.rejected {
		if tenantOf[id] > 0 {
			others++
		}
	}
	if len(r.rejected) < 100 || others > len(r.rejected)/10 {
		t.Fatalf("%d of %d rejected messages are of the other tenants", others, len(r.rejected))
	}
}
