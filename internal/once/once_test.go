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
		{"new", now, func(*Registry, Key) {}, Go},
		{"repeated by its holder", now, func(r *Registry, k Key) { r.Begin(k, mine, now) }, Go},
		{"running elsewhere", now, func(r *Registry, k Key) { r.Begin(k, other, now) }, Running},
		{"answered", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, other, Answered) }, Ended},
		{"may have run", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, other, Unknown) }, Uncertain},
		{"did not run", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, other, NotRun) }, Go},
		{"ended by another than its holder", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.End(k, mine, NotRun) }, Running},
		{"answered to the same holder", now, func(r *Registry, k Key) { r.Begin(k, mine, now); r.End(k, mine, Answered) }, Ended},
		{"hours old", now.Add(-3 * time.Hour), func(*Registry, Key) {}, Expired},
		{"ahead", now.Add(window.MaxSkew + time.Second), func(*Registry, Key) {}, Future},
		{"created before an owner was lost", now, func(r *Registry, _ Key) { r.Lose(now) }, Uncertain},
		{"created after an owner was lost", now, func(r *Registry, _ Key) { r.Lose(now.Add(-window.MaxSkew - time.Second)) }, Go},
		{"kept by Trim within the window", now, func(r *Registry, k Key) { r.Begin(k, other, now); r.Trim(now.Add(time.Minute)) }, Running},
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
	first.Lose(now.Add(-time.Hour))
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
	var s Shares
	s[0] = Share{"a", 3}
	s[63] = Share{"b", 1}
	got, err := DecodeShares(EncodeShares(s))
	if err != nil || got != s {
		t.Errorf("decoded shares %v, error %v", got, err)
	}
	for _, bad := range []string{"a 1\n", "a\n", string(EncodeShares(s)) + "c 1\n", "a x\n"} {
		if _, err := DecodeShares([]byte(bad)); err == nil {
			t.Errorf("DecodeShares accepts %q", bad)
		}
	}
}

func TestMoves(t *testing.T) {
	var s Shares
	s[1] = Share{"me", 4}
	s[2] = Share{"me", 4}
	s[3] = Share{"dead", 7}
	s[4] = Share{"alive", 7}
	prefer := func(shard int) string {
		if shard == 2 {
			return "alive"
		}
		return "me"
	}
	moves := s.Moves("me", prefer, func(owner string) bool { return owner == "dead" })
	if len(moves.Given) != 1 || moves.Next[2] != (Share{"alive", 5}) {
		t.Errorf("Given is %v, the new owner %v", moves.Given, moves.Next[2])
	}
	if moves.Next[3] != (Share{"me", 8}) || moves.Next[4] != s[4] || moves.Next[1] != s[1] || moves.Next[0] != (Share{"me", 1}) {
		t.Errorf("Taken is %v, the new owners %v", moves.Taken, moves.Next[:5])
	}
}
