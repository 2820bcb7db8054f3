package intake_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/intake"
	"github.com/papayarudder/papayarudder/platform"
)

const submission = `{"spec":"labels of a day","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},` +
	`{"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpointing":true}]}`

// BenchmarkSubmission measures an ordinary submission on a connection that stays open, at both
// ends together, with and without a gate.
func BenchmarkSubmission(b *testing.B) {
	const limit = 262_144
	readAll := func(r *http.Request, limit int64) ([]byte, error) { return io.ReadAll(io.LimitReader(r.Body, limit+1)) }
	for _, c := range []struct {
		name  string
		read  func(r *http.Request, limit int64) ([]byte, error)
		guard bool
	}{{"plain", readAll, false}, {"guarded", intake.ReadBody, true}} {
		b.Run(c.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := c.read(r, limit)
				if err == nil {
					_, err = platform.DecodeJob(body)
				}
				if err != nil {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				_, _ = io.WriteString(w, "{}")
			})}
			if c.guard {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				gate := intake.New(intake.LimitsOf(0, 0), logrus.NewEntry(logger))
				gate.Guard(server)
				listener = gate.Listener(listener)
			}
			go func() { _ = server.Serve(listener) }() // ends when the server is closed
			defer server.Close()
			client := http.Client{Transport: &http.Transport{}}
			url := "http://" + listener.Addr().String() + "/"
			b.ReportAllocs()
			for b.Loop() {
				response, err := client.Post(url, "application/json", strings.NewReader(submission))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Fatal(response.StatusCode)
				}
			}
		})
	}
}
