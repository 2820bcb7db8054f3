package once

import (
	"testing"
	"time"

	"github.com/google/uuid"
)

func newKey(t *testing.T, createdAt time.Time) Key {
	t.Helper()
	id := uuid.Must(uuid.NewV7())
	ms := createdAt.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	key, err := ParseKey(id.String())
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func TestParseKey(t *testing.T) {
	tests := []struct {
		in    string
		valid bool
	}{
		{uuid.Must(uuid.NewV7()).String(), true},
		{uuid.NewString(), false},
		{"", false},
		{"no uuid", false},
		{"{" + uuid.Must(uuid.NewV7()).String() + "}", false},
	}
	for _, tt := range tests {
		if _, err := ParseKey(tt.in); (err == nil) != tt.valid {
			t.Errorf("ParseKey(%q): %v, want valid %v", tt.in, err, tt.valid)
		}
	}
}

func TestBegin(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	window := DefaultWindow()
	mine := Holder{"e1", "1"}
	other := Holder{"e2", "7"}
	tests := []struct {
		name      string
		createdAt time.Time
		setup     func(r *Registry, k Key)
		want      Verdict
	}{
		{"new", now, func(*Registry, Key) {}, Proceed},
		{"repeated by its holder", now, func(r *Registry, k Key) { r.Begin(k, mine, now) }, Proceed},
		{"running elsewhere", now, func(r *Registry, k Key) { r.Begin(k, other, now) }, Running},
		{"answered", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, other, Answered) }, Ended},
		{"may have run", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, other, Unknown) }, Uncertain},
		{"did not run", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, other, NotRun) }, Proceed},
		{"ended by another than its holder", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, mine, NotRun) }, Running},
		{"answered to the same holder", now, func(r *Registry, k Key) { r.Begin(k, mine, now); r.End(k, mine, Answered) }, Ended},
		{"hours old", now.Add(-3 * time.Hour), func(*Registry, Key) {}, Expired},
		{"ahead", now.Add(window.MaxSkew + time.Second), func(*Registry, Key) {}, Future},
		{"created before an owner was lost", now, func(r *Registry, _ Key) { r.MarkUncertain(now) }, Uncertain},
		{"created after an owner was lost", now, func(r *Registry, _ Key) { r.MarkUncertain(now.Add(-window.MaxSkew - time.Second)) }, Proceed},
		{"kept by Trim within the window", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.RemoveExpired(now.Add(time.Minute)) }, Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegistry(window)
			key := newKey(t, tt.createdAt)
			tt.setup(r, key)
			if got := r.Begin(key, mine, now); got != tt.want {
				t.Errorf("verdict %d, want %d", got, tt.want)
			}
		})
	}
}

// A shard's next owner gives the same verdicts as its previous owner.
func TestHandoverKeepsVerdicts(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	first, second := NewRegistry(DefaultWindow()), NewRegistry(DefaultWindow())
	key := newKey(t, now)
	first.Begin(key, Holder{"e1", "1"}, now)
	first.End(key, Holder{"e1", "1"}, Answered)
	first.MarkUncertain(now.Add(-time.Hour))
	if err := second.Restore(first.Snapshot(), first.Horizon()); err != nil {
		t.Fatal(err)
	}
	if got := second.Begin(key, Holder{"e2", "2"}, now); got != Ended {
		t.Errorf("verdict %d, want Ended", got)
	}
	if !second.Horizon().Equal(first.Horizon()) {
		t.Errorf("horizon %s, want %s", second.Horizon(), first.Horizon())
	}
}

func TestSharesCodec(t *testing.T) {
	var s ShardOwners
	s[0] = ShardOwner{"a", 3}
	s[63] = ShardOwner{"b", 1}
	got, err := DecodeShardOwners(EncodeShardOwners(s))
	if err != nil || got != s {
		t.Errorf("decoded shares %v, error %v", got, err)
	}
	for _, bad := range []string{"a 1\n", "a\n", string(EncodeShardOwners(s)) + "c 1\n", "a x\n"} {
		if _, err := DecodeShardOwners([]byte(bad)); err == nil {
			t.Errorf("DecodeShares accepts %q", bad)
		}
	}
}

func TestMoves(t *testing.T) {
	var s ShardOwners
	s[1] = ShardOwner{"me", 4}
	s[2] = ShardOwner{"me", 4}
	s[3] = ShardOwner{"dead", 7}
	s[4] = ShardOwner{"alive", 7}
	prefer := func(shard int) string {
		if shard == 2 {
			return "alive"
		}
		return "me"
	}
	moves := s.PlanOwnership("me", prefer, func(owner string) bool { return owner == "dead" })
	if len(moves.HandedOver) != 1 || moves.Next[2] != (ShardOwner{"alive", 5}) {
		t.Errorf("HandedOver is %v, the new owner %v", moves.HandedOver, moves.Next[2])
	}
	if moves.Next[3] != (ShardOwner{"me", 8}) || moves.Next[4] != s[4] || moves.Next[1] != s[1] || moves.Next[0] != (ShardOwner{"me", 1}) {
		t.Errorf("TakenOver is %v, the new owners %v", moves.TakenOver, moves.Next[:5])
	}
}
