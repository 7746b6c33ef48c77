package knowledge

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "saffronyard.example/saffronyard/proto/saffronyard/knowledge/v1"
)

const at0 = 1000 * time.Hour // the current time in tests

func fact(kind Kind, age time.Duration, source string) Fact {
	f := Fact{Subject: Subject{Destination: 7}, Kind: kind, ObservedAt: at0 - age, Calls: 5}
	if source != "" {
		f.Source = Source{source, 1}
	}
	switch kind {
	case Latency:
		f.Mean, f.Median, f.Min, f.Timeout = 100*time.Millisecond, 90*time.Millisecond, 50*time.Millisecond, time.Second
	case Concurrency:
		f.Window = 4
	case RateLimit:
		f.PerSecond = 25
	case RetryAfter:
		f.Until = at0 + time.Second
	case Health:
		f.State, f.Since, f.Rate = Unhealthy, f.ObservedAt-time.Second, 3
	}
	return f
}

// drawFact draws a valid fact. It chooses among few values, so that ties occur.
func drawFact(t *rapid.T) Fact {
	f := fact(Kind(rapid.IntRange(1, kindCount-1).Draw(t, "kind")), time.Duration(rapid.IntRange(0, 12).Draw(t, "age"))*time.Second,
		rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "source"))
	f.Destination = uint32(rapid.IntRange(0, 2).Draw(t, "destination"))
	f.Endpoint = rapid.SampledFrom([]string{"", "e1"}).Draw(t, "endpoint")
	f.Calls = uint32(rapid.IntRange(1, 3).Draw(t, "calls"))
	switch f.Kind {
	case Health:
		f.State = State(rapid.IntRange(int(Healthy), int(Unhealthy)).Draw(t, "state"))
	case RetryAfter:
		f.Until = at0 + time.Duration(rapid.IntRange(1, 3).Draw(t, "until"))*time.Second
	case Concurrency:
		f.Window = float64(rapid.IntRange(1, 3).Draw(t, "window"))
	case Latency, RateLimit: // as set by fact
	}
	if !f.Source.Own() {
		f.Source.Incarnation = uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	}
	return f
}

func viewOf(facts ...Fact) *View {
	v := NewView(1000)
	for _, f := range facts {
		v.Add(f, at0)
	}
	return v
}

// The merge is commutative, idempotent and associative: it gives the same view in whatever order and however often facts are added,
// and if they were merged in parts before.
func TestView_MergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawFact), 0, 12).Draw(t, "facts")
		want := viewOf(all...)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		if got := viewOf(shuffled...); !reflect.DeepEqual(got.Facts(), want.Facts()) || !reflect.DeepEqual(got.OwnFacts(), want.OwnFacts()) {
			t.Fatalf("facts in another order give %v, want %v", got.Facts(), want.Facts())
		}
		if got := viewOf(append(slices.Clone(all), shuffled...)...); !reflect.DeepEqual(got.Facts(), want.Facts()) {
			t.Fatalf("facts added twice give %v, want %v", got.Facts(), want.Facts())
		}
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		parts := append(viewOf(all[:cut]...).Facts(), viewOf(all[cut:]...).Facts()...)
		if got := viewOf(parts...); !reflect.DeepEqual(got.Facts(), want.Facts()) {
			t.Fatalf("facts merged in parts give %v, want %v", got.Facts(), want.Facts())
		}
		for _, f := range want.OwnFacts() {
			if !f.Source.Own() {
				t.Fatalf("the fact %v of a peer is among the own ones", f)
			}
		}
	})
}

// All histories of up to three facts of one subject and kind: the order of facts is total and transitive, and the best fact does not
// depend on the order in which they were added.
func TestView_AllSmallHistories(t *testing.T) {
	var facts []Fact
	for _, source := range []string{"", "a", "b"} {
		for _, age := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
			for _, state := range []State{Healthy, Unhealthy} {
				f := fact(Health, age, source)
				f.State = state
				facts = append(facts, f)
			}
		}
	}
	for _, a := range facts {
		for _, b := range facts {
			if (a != b) != (Better(&a, &b) || Better(&b, &a)) || Better(&a, &b) && Better(&b, &a) {
				t.Fatalf("%v and %v are not ordered", a, b)
			}
			for _, c := range facts {
				if Better(&a, &b) && Better(&b, &c) && !Better(&a, &c) {
					t.Fatalf("%v, %v, %v: the order is not transitive", a, b, c)
				}
				want := viewOf(a, b, c).Facts()
				for _, order := range [][]Fact{{a, c, b}, {b, a, c}, {b, c, a}, {c, a, b}, {c, b, a}} {
					if got := viewOf(order...).Facts(); !reflect.DeepEqual(got, want) {
						t.Fatalf("%v give %v, want %v", order, got, want)
					}
				}
			}
		}
	}
}

// The rules of precedence between two facts, case by case.
func TestBetter(t *testing.T) {
	own, peerFact := fact(Health, 4*time.Second, ""), fact(Health, 0, "a")
	if !Better(&own, &peerFact) {
		t.Error("a peer's fact that is slightly newer takes precedence over an own one")
	}
	if own.ObservedAt -= 2 * time.Second; Better(&own, &peerFact) {
		t.Error("an own fact takes precedence over a peer's that is newer by more than ownFactAdvantage")
	}
	more := peerFact
	if more.Calls++; !Better(&more, &peerFact) {
		t.Error("of two facts of equal age, the one with more calls does not take precedence")
	}
	short, long := fact(RetryAfter, 0, ""), fact(RetryAfter, 9*time.Second, "a")
	if long.Until += time.Second; !Better(&long, &short) {
		t.Error("the longer wait does not take precedence")
	}
}

// The trust in a fact falls with its age; a RetryAfter has full trust until its end.
func TestFact_Trust(t *testing.T) {
	for kind := Latency; int(kind) < kindCount; kind++ {
		f := fact(kind, 0, "a")
		if got := f.Trust(at0); got != 1 {
			t.Errorf("%v: trust %v at age 0", kind, got)
		}
		if kind == RetryAfter {
			if f.Trust(f.Until-1) != 1 || f.Trust(f.Until) != 0 {
				t.Error("the trust in a wait is not 1 until its end and 0 after it")
			}
			continue
		}
		if got := f.Trust(at0 + trustHalfLife[kind]); math.Abs(got-0.5) > 1e-9 {
			t.Errorf("%v: trust %v after the half-life", kind, got)
		}
	}
}

// A view drops facts that are no longer trusted. Once a peer's fact is dropped, the own fact is the best again.
func TestView_Forget(t *testing.T) {
	v := viewOf(fact(Latency, 2*time.Hour, ""), fact(Latency, time.Hour, "a"), fact(Health, 0, "a"))
	if n := len(v.Facts()); n != 2 || len(v.OwnFacts()) != 1 {
		t.Fatalf("%d facts", n)
	}
	v.Forget(at0 + 10*time.Minute)
	if f := v.Facts(); len(f) != 1 || f[0].Kind != Latency {
		t.Errorf("%v", f)
	}
	v.Forget(at0 + 24*time.Hour)
	if len(v.Facts()) != 0 || v.Subjects() != 0 {
		t.Errorf("%v, %d subjects", v.Facts(), v.Subjects())
	}
}

// A view rejects invalid facts, and subjects beyond its bound.
func TestView_RejectsInvalidFacts(t *testing.T) {
	v := NewView(1)
	for name, corrupt := range map[string]func(*Fact){
		"no kind":          func(f *Fact) { f.Kind = 0 },
		"a newer kind":     func(f *Fact) { f.Kind = Kind(kindCount) },
		"from the future":  func(f *Fact) { f.ObservedAt = at0 + time.Second },
		"since the future": func(f *Fact) { f.Since = at0 + time.Second },
		"no state":         func(f *Fact) { f.State = 0 },
		"another state":    func(f *Fact) { f.State = Unhealthy + 1 },
		"rate NaN":         func(f *Fact) { f.Rate = math.NaN() },
		"rate infinite":    func(f *Fact) { f.Rate = math.Inf(1) },
		"rate negative":    func(f *Fact) { f.Rate = -1 },
		"too old":          func(f *Fact) { f.ObservedAt = at0 - time.Hour; f.Since = f.ObservedAt },
	} {
		f := fact(Health, 0, "a")
		if corrupt(&f); v.Add(f, at0) || v.Subjects() != 0 {
			t.Errorf("%s: the fact is accepted", name)
		}
	}
	if f := fact(RetryAfter, 0, "a"); v.Add(func() Fact { f.Until = at0 + 25*time.Hour; return f }(), at0) {
		t.Error("a wait of 25 hours is accepted")
	}
	other := fact(Latency, 0, "a")
	other.Destination = 8
	if !v.Add(fact(Latency, 0, "a"), at0) || v.Add(other, at0) {
		t.Error("the bound on subjects is not enforced")
	}
}

// Ages are encoded, not times: a fact decoded on another clock has the same value, older by the time in transit.
func TestCodec_RoundTrip(t *testing.T) {
	const remoteAt0, transit = 5 * time.Hour, 3 * time.Second
	for kind := Latency; int(kind) < kindCount; kind++ {
		f := fact(kind, 2*time.Second, "")
		got, err := Decode(Encode(&f, at0), Source{"a", 9}, remoteAt0+transit, transit)
		if err != nil {
			t.Fatal(err)
		}
		want := f
		shift := remoteAt0 - at0
		want.ObservedAt, want.Source = f.ObservedAt+shift, Source{"a", 9}
		if kind == RetryAfter {
			want.Until += shift
		}
		if kind == Health {
			want.Since += shift
		}
		if got != want {
			t.Errorf("%v: %+v, want %+v", kind, got, want)
		}
	}
	if _, err := Decode(&pb.Fact{Destination: 1}, Source{}, at0, 0); err == nil {
		t.Error("a fact without a value is decoded")
	}
}

// The format of a snapshot, which earlier and later versions must be able to read.
func TestSnapshot_Golden(t *testing.T) {
	f := fact(Health, time.Second, "")
	raw, dropped := Marshal([]Fact{f}, at0, time.UnixMicro(1700000000000000), 4096)
	const want = "SYKNOW\x01\x00&\x00\x00\x00K&tm\b\x01\x10\x80\x80\xf9\xc0\xc1\xc4\x82\x03\x1a\x19" + // format 1, the time; one fact:
		"\b\a\x18\xc0\x84= \x05J\x0f\b\x03\x10\x80\x89z\x19\x00\x00\x00\x00\x00\x00\b@" // receiver 7, 1 s old, 5 calls; out for 2 s, 3 calls a second
	if dropped != 0 || string(raw) != want {
		t.Errorf("%q", raw)
	}
	got, skipped, err := Unmarshal(raw, at0, time.UnixMicro(1700000000000000))
	if err != nil || skipped != 0 || len(got) != 1 || got[0] != f {
		t.Errorf("%+v, %d, %v", got, skipped, err)
	}
	// Fields and kinds of facts of a newer version are no error.
	body := protowire.AppendTag(nil, 3, protowire.BytesType)
	body = protowire.AppendBytes(body, protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
	body = protowire.AppendVarint(protowire.AppendTag(body, 77, protowire.VarintType), 5)
	var s pb.Snapshot
	if err := proto.Unmarshal(append(raw[headLen:len(raw):len(raw)], body...), &s); err != nil || len(s.Facts) != 2 {
		t.Errorf("%v, %d facts", err, len(s.Facts))
	}
	if _, err := Decode(s.Facts[1], Source{}, at0, 0); !errors.Is(err, errUnknownFact) {
		t.Error(err)
	}
}

// A snapshot that is truncated anywhere, or has a changed byte, is rejected as damaged or as of a newer format.
func TestSnapshot_Damaged(t *testing.T) {
	wall := time.UnixMicro(1700000000000000)
	raw, _ := Marshal([]Fact{fact(Latency, 0, ""), fact(RetryAfter, 0, "")}, at0, wall, 4096)
	for n := range raw {
		if _, _, err := Unmarshal(raw[:n], at0, wall); !errors.Is(err, ErrDamaged) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		bad := slices.Clone(raw)
		bad[n] ^= 0x10
		if _, _, err := Unmarshal(bad, at0, wall); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	if facts, _, err := Unmarshal(raw, at0, wall.Add(-time.Hour)); err == nil || len(facts) > 0 {
		t.Error("a snapshot written in the future is read")
	}
	facts, _, err := Unmarshal(raw, at0, wall.Add(time.Hour))
	if err != nil || len(facts) != 2 || at0-facts[0].ObservedAt < time.Hour && facts[0].Kind == Latency {
		t.Errorf("%+v, %v", facts, err)
	}
	if v := viewOf(facts...); len(v.Facts()) != 1 { // the wait has ended
		t.Errorf("%+v", v.Facts())
	}
}

// A kill at any point of saving a snapshot leaves the old or the new one.
func TestSnapshot_KilledWhileSaving(t *testing.T) {
	path, wall := filepath.Join(t.TempDir(), "knowledge"), time.UnixMicro(1700000000000000)
	old, _ := Marshal([]Fact{fact(Concurrency, 0, "")}, at0, wall, 4096)
	next, _ := Marshal([]Fact{fact(Latency, 0, ""), fact(RetryAfter, 0, "")}, at0, wall, 4096)
	if err := Save(path, old); err != nil {
		t.Fatal(err)
	}
	read := func() int {
		facts, _, err := Load(path, at0, wall)
		if err != nil {
			t.Fatal(err)
		}
		return len(facts)
	}
	for n := range len(next) + 1 { // killed after n bytes of the new one were written
		if err := os.WriteFile(path+".new", next[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if got := read(); got != 1 {
			t.Fatalf("cut at %d: %d facts", n, got)
		}
	}
	if err := Save(path, next); err != nil || read() != 2 {
		t.Errorf("%v, %d facts", err, read())
	}
	if facts, _, err := Load(path+".none", at0, wall); err != nil || facts != nil {
		t.Errorf("%v, %v", facts, err)
	}
	// If the new one can't be written, the old one stays, and no partial file takes space.
	if err := os.Mkdir(path+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Save(path, old); err == nil || read() != 2 {
		t.Errorf("%v, %d facts", err, read())
	}
}

// If not all facts fit, those that avoid failed calls are kept.
func TestSnapshot_SizeLimit(t *testing.T) {
	var all []Fact
	for d := range uint32(100) {
		for kind := Latency; int(kind) < kindCount; kind++ {
			f := fact(kind, 0, "")
			f.Destination = d
			all = append(all, f)
		}
	}
	raw, dropped := Marshal(all, at0, time.Now(), 4096)
	got, _, err := Unmarshal(raw, at0, time.Now())
	if err != nil || len(raw) > 4096 || len(got)+dropped != len(all) || len(raw) < 3000 {
		t.Fatalf("%d bytes, %d facts, %d dropped, %v", len(raw), len(got), dropped, err)
	}
	waits := 0
	for _, f := range got {
		if f.Kind == RetryAfter {
			waits++
		}
	}
	if waits != 100 {
		t.Errorf("%d of 100 waits are in the snapshot", waits)
	}
}

func FuzzUnmarshal(f *testing.F) {
	wall := time.UnixMicro(1700000000000000)
	raw, _ := Marshal([]Fact{fact(Latency, 0, ""), fact(RetryAfter, 0, ""), fact(Health, 0, "")}, at0, wall, 4096)
	f.Add(raw[headLen:])
	f.Fuzz(func(t *testing.T, body []byte) {
		var s pb.Snapshot
		if proto.Unmarshal(body, &s) != nil {
			return
		}
		v := NewView(10)
		for _, m := range s.Facts {
			if got, err := Decode(m, Source{"a", 1}, at0, 0); err == nil {
				v.Add(got, at0)
			}
		}
		for _, got := range v.Facts() {
			if !got.valid(at0) || got.Trust(at0) < MinTrust || v.Subjects() > 10 {
				t.Fatalf("%+v", got)
			}
		}
	})
}

func BenchmarkMarshal5000(b *testing.B) {
	var all []Fact
	for d := range uint32(5000) {
		for _, kind := range []Kind{Latency, Concurrency, Health} {
			f := fact(kind, 0, "")
			f.Destination = d
			all = append(all, f)
		}
	}
	for b.Loop() {
		raw, _ := Marshal(all, at0, time.Now(), MaxSnapshotBytes)
		b.ReportMetric(float64(len(raw))/5000, "B/receiver")
	}
}
