// Package conf reads the settings of a process from an INI file and validates them.
//
// # Usage
//
//	settings, faults := conf.Load("entry-1.ini")
//	for _, f := range faults {
//		fmt.Println(f) // section, key, value and what is allowed
//	}
//
// Load reports all faults of a file together. An unknown section or key is a fault.
// See [Keys] for all keys and their defaults.
package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Settings holds the settings of a process.
type Settings struct {
	Name string
	Zone string

	CallerAddr netip.AddrPort
	AdminAddr  netip.AddrPort
	PeerAddr   netip.AddrPort

	PlatformAddr    netip.AddrPort
	PlatformTimeout time.Duration

	MaxRequest  int64 // bytes
	MaxAnswer   int64 // bytes
	MaxInFlight int   // requests
	MemoryMB    int   // memory of the process

	Members    int // number of entry hosts in the system
	LeaseRenew time.Duration
	LeaseHold  time.Duration
	DrainTime  time.Duration // how long a stop waits for requests in flight

	LogFormat    string // "text" or "json"
	LogLevel     string // "error", "warn", "info" or "debug"
	TimelineSize int    // events kept in memory
	TimelineFile string // recording of all events, empty for none
	DispatchFile string // recording of every dispatch step, empty for none
}

// Fault is an invalid, missing or unknown key of a settings file.
type Fault struct {
	Section string
	Key     string
	Value   string
	Allowed string
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", f.Section, f.Key, f.Value, f.Allowed)
}

// Key describes one key of the settings file.
type Key struct {
	Section string
	Name    string
	Default string // if empty, the key is required unless Optional is set
	Allowed string
	Help    string

	Optional bool
	set      func(s *Settings, value string) bool
}

// Keys returns all keys in the order of an example settings file.
func Keys() []Key {
	return []Key{
		{Section: "process", Name: "name", Allowed: "a name of its own for each process", Help: "name of this process", set: setName(func(s *Settings) *string { return &s.Name })},
		{Section: "process", Name: "zone", Allowed: "the name of an availability zone", Help: "availability zone that this process runs in", set: setName(func(s *Settings) *string { return &s.Zone })},
		{Section: "process", Name: "drain-time", Default: "30s", Allowed: "1s to 1h", Help: "longest time that a stop waits for requests in flight", set: setDuration(func(s *Settings) *time.Duration { return &s.DrainTime }, time.Second, time.Hour)},
		{Section: "listen", Name: "caller", Allowed: "an IP address and port", Help: "callers' HTTP", set: setAddr(func(s *Settings) *netip.AddrPort { return &s.CallerAddr })},
		{Section: "listen", Name: "admin", Allowed: "an IP address and port", Help: "operators' HTTP, metrics and readiness", set: setAddr(func(s *Settings) *netip.AddrPort { return &s.AdminAddr })},
		{Section: "listen", Name: "peer", Allowed: "an IP address and port", Help: "calls between the system's processes", set: setAddr(func(s *Settings) *netip.AddrPort { return &s.PeerAddr })},
		{Section: "platform", Name: "address", Allowed: "an IP address and port", Help: "the platform's services", set: setAddr(func(s *Settings) *netip.AddrPort { return &s.PlatformAddr })},
		{Section: "platform", Name: "timeout", Default: "1s", Allowed: "10ms to 30s", Help: "longest wait for one answer of the platform", set: setDuration(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, 10*time.Millisecond, 30*time.Second)},
		{Section: "limits", Name: "max-request-bytes", Default: "1048576", Allowed: "1 to 1073741824", Help: "largest body of a request", set: setInt64(func(s *Settings) *int64 { return &s.MaxRequest }, 1, 1<<30)},
		{Section: "limits", Name: "max-answer-bytes", Default: "8388608", Allowed: "1 to 1073741824", Help: "largest body of an answer", set: setInt64(func(s *Settings) *int64 { return &s.MaxAnswer }, 1, 1<<30)},
		{Section: "limits", Name: "max-in-flight", Default: "4096", Allowed: "1 to 1000000", Help: "most requests that this entry holds at once", set: setInt(func(s *Settings) *int { return &s.MaxInFlight }, 1, 1_000_000)},
		{Section: "limits", Name: "memory-mb", Default: "256", Allowed: "64 to 1048576", Help: "memory of this process; an eighth is for requests that are read, and as much for callers' connections", set: setInt(func(s *Settings) *int { return &s.MemoryMB }, 64, 1<<20)},
		{Section: "lease", Name: "renew", Default: "2s", Allowed: "50ms to 1m", Help: "time between renewals of this process's lease", set: setDuration(func(s *Settings) *time.Duration { return &s.LeaseRenew }, 50*time.Millisecond, time.Minute)},
		{Section: "lease", Name: "hold", Default: "6s", Allowed: "150ms to 5m, at least twice renew", Help: "how long a renewal is relied on; the same for all processes", set: setDuration(func(s *Settings) *time.Duration { return &s.LeaseHold }, 150*time.Millisecond, 5*time.Minute)},
		{Section: "lease", Name: "members", Default: "8", Allowed: "1 to 1000", Help: "number of entry hosts, of which a majority is counted; the same for all processes", set: setInt(func(s *Settings) *int { return &s.Members }, 1, 1000)},
		{Section: "log", Name: "format", Default: "text", Allowed: "text or json", Help: "form of the log", set: setChoice(func(s *Settings) *string { return &s.LogFormat }, "text", "json")},
		{Section: "log", Name: "level", Default: "info", Allowed: "error, warn, info or debug", Help: "least level that is logged", set: setChoice(func(s *Settings) *string { return &s.LogLevel }, "error", "warn", "info", "debug")},
		{Section: "timeline", Name: "size", Default: "8192", Allowed: "16 to 1000000", Help: "events kept in memory", set: setInt(func(s *Settings) *int { return &s.TimelineSize }, 16, 1_000_000)},
		{Section: "timeline", Name: "file", Optional: true, Allowed: "a path", Help: "file that every event is also written to", set: func(s *Settings, value string) bool { s.TimelineFile = value; return true }},
		{Section: "timeline", Name: "dispatch-file", Optional: true, Allowed: "a path", Help: "file that every step of the dispatch queues is written to, for replay", set: func(s *Settings, value string) bool { s.DispatchFile = value; return true }},
	}
}

// Load reads and validates a settings file. If there are faults, the settings must
// not be used.
func Load(path string) (Settings, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return Settings{}, []Fault{{"file", path, "", "an INI file that can be read: " + errors.UnwrapAll(err).Error()}}
	}
	return decode(file)
}

// Parse reads and validates the settings in data. If there are faults, the settings
// must not be used.
func Parse(data []byte) (Settings, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return Settings{}, []Fault{{"file", "", "", "INI: " + err.Error()}}
	}
	return decode(file)
}

func decode(file *ini.File) (Settings, []Fault) {
	var settings Settings
	var faults []Fault
	keys := Keys()
	for _, k := range keys {
		value := strings.TrimSpace(file.Section(k.Section).Key(k.Name).String())
		if value == "" {
			value = k.Default
		}
		if value == "" && k.Optional {
			continue
		}
		if value == "" || !k.set(&settings, value) {
			faults = append(faults, Fault{k.Section, k.Name, value, k.Allowed})
		}
	}
	faults = append(faults, unknownKeys(file, keys)...)
	for _, f := range settings.crossCheck() {
		if !hasFault(faults, f.Key) {
			faults = append(faults, f)
		}
	}
	return settings, faults
}

// hasFault reports whether faults contains one for key.
func hasFault(faults []Fault, key string) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool { return f.Key == key })
}

func unknownKeys(file *ini.File, keys []Key) []Fault {
	var faults []Fault
	for _, section := range file.Sections() {
		names := keyNames(keys, section.Name())
		for _, key := range section.Keys() {
			if slices.Contains(names, key.Name()) {
				continue
			}
			allowed := "no such section"
			if len(names) > 0 {
				allowed = "no such key; known are " + strings.Join(names, ", ")
			}
			faults = append(faults, Fault{section.Name(), key.Name(), key.Value(), allowed})
		}
	}
	return faults
}

func keyNames(keys []Key, section string) []string {
	var names []string
	for _, k := range keys {
		if k.Section == section {
			names = append(names, k.Name)
		}
	}
	return names
}

// crossCheck returns the faults in combinations of keys.
func (s Settings) crossCheck() []Fault {
	var faults []Fault
	if s.LeaseHold < 2*s.LeaseRenew {
		faults = append(faults, Fault{"lease", "hold", s.LeaseHold.String(), "at least twice renew, which is " + s.LeaseRenew.String()})
	}
	listeners := map[netip.AddrPort]string{}
	for _, l := range []struct {
		key  string
		addr netip.AddrPort
	}{{"caller", s.CallerAddr}, {"admin", s.AdminAddr}, {"peer", s.PeerAddr}} {
		if other, used := listeners[l.addr]; used && l.addr.IsValid() {
			faults = append(faults, Fault{"listen", l.key, l.addr.String(), "an address of its own; " + other + " has this one"})
		}
		listeners[l.addr] = l.key
	}
	return faults
}

func setName(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*field(s) = value
		return !strings.ContainsAny(value, " \t/\"") && len(value) <= 63
	}
}

func setChoice(field func(*Settings) *string, choices ...string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*field(s) = value
		return slices.Contains(choices, value)
	}
}

func setAddr(field func(*Settings) *netip.AddrPort) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		addr, err := netip.ParseAddrPort(value)
		*field(s) = addr
		return err == nil && addr.Port() != 0
	}
}

func setDuration(field func(*Settings) *time.Duration, low, high time.Duration) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		d, err := time.ParseDuration(value)
		*field(s) = d
		return err == nil && d >= low && d <= high
	}
}

func setInt64(field func(*Settings) *int64, low, high int64) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		*field(s) = n
		return err == nil && n >= low && n <= high
	}
}

func setInt(field func(*Settings) *int, low, high int) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		n, err := strconv.Atoi(value)
		*field(s) = n
		return err == nil && n >= low && n <= high
	}
}
