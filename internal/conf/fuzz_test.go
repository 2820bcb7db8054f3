package conf

import "testing"

func FuzzParse(f *testing.F) {
	f.Add([]byte("[listen]\npeer = 10.0.0.1:80\n[lease]\nmembers = 8\nhold = 9999999h\n"))
	f.Add([]byte("[[[[\n= \"\"\"\n%(a)s"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Parse(data)
		if len(faults) == 0 && (s.PeerAddr.Port() == 0 || s.LeaseHold < 2*s.LeaseRenew || s.Members < 1) {
			t.Errorf("accepted: %+v", s)
		}
	})
}
