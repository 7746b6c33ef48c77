package worker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A ring buffer behaves like a plain list under its overflow policy, for any order of Offer and Take.
func TestRingBuffer_AgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "most")
		policy := OverflowPolicy(rapid.IntRange(0, 2).Draw(t, "rule"))
		type entry struct{ key, value int }
		key := func(e entry) string { return fmt.Sprint(e.key) }
		var keyFunc func(entry) string
		if policy == MergeByKey {
			keyFunc = key
		}
		r := NewRingBuffer("r", capacity, policy, keyFunc)
		var list []entry
		high, dropped, merged, waited := 0, 0, 0, 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "take") {
				n := rapid.IntRange(0, 3).Draw(t, "n")
				n = min(n, len(list))
				if got := r.Take(n); !slices.Equal(got, list[:n]) {
					t.Fatalf("took %v, want %v", got, list[:n])
				}
				list = list[n:]
				continue
			}
			e := entry{rapid.IntRange(0, 6).Draw(t, "key"), i}
			at := slices.IndexFunc(list, func(o entry) bool { return o.key == e.key })
			accepted := true
			switch {
			case policy == MergeByKey && at >= 0:
				list = slices.Clone(list)
				list[at] = e
				merged++
			case len(list) < capacity:
				list = append(slices.Clone(list), e)
			case policy == Block:
				accepted = false
				waited++
			default:
				list = append(slices.Clone(list[1:]), e)
				dropped++
			}
			high = max(high, len(list))
			if got := r.Offer(e); got != accepted {
				t.Fatalf("offer %v: %v, want %v", e, got, accepted)
			}
		}
		s := r.Stats()
		if s.Length != len(list) || s.HighWatermark != high || s.Dropped != uint64(dropped) || s.Merged != uint64(merged) || s.Blocked != uint64(waited) {
			t.Fatalf("%+v; list %d, high %d, dropped %d, merged %d, waited %d", s, len(list), high, dropped, merged, waited)
		}
	})
}

// Put into a full ring buffer waits until an entry is taken, its context ends, or the ring buffer is closed.
func TestRingBuffer_PutBlocksWhenFull(t *testing.T) {
	r := NewRingBuffer[int]("full", 1, Block, nil)
	if err := r.Put(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := r.Put(ctx, 2); !errors.Is(err, context.DeadlineExceeded) || !strings.Contains(err.Error(), "full") {
		t.Errorf("%v", err)
	}
	put := make(chan error, 1)
	go func() { put <- r.Put(context.Background(), 3) }()
	for r.Stats().Blocked < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Take(1)
	if err := <-put; err != nil {
		t.Error(err)
	}
	go func() { put <- r.Put(context.Background(), 4) }()
	for r.Stats().Blocked < 3 {
		time.Sleep(time.Millisecond)
	}
	r.Close()
	if err := <-put; !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
	if got := r.Take(9); !slices.Equal(got, []int{3}) || r.Offer(5) {
		t.Errorf("the closed ring buffer has %v, want 3, or it accepts an entry", got)
	}
}
