package chart

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/papayarudder/papayarudder/internal/model"
)

func TestWrite(t *testing.T) {
	reports := []model.Report{{
		Scenario: "turns", Duration: 50, Bound: model.Bound{HostSeconds: 600, Moves: 20},
		Summaries: []model.Summary{{Policy: "product", Seeds: 2, OnTime: 0.99, Hosts: 30}, {Policy: "static", Seeds: 2, OnTime: 0.97, Hosts: 41}},
	}}
	var text bytes.Buffer
	if err := model.EncodeReports(&text, reports); err != nil {
		t.Fatal(err)
	}
	read, err := model.DecodeReports(&text)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "policies.svg")
	if err := Write(path, read); err != nil {
		t.Fatal(err)
	}
	drawn, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "product", "static", "clairvoyant"} {
		if !bytes.Contains(drawn, []byte(want)) {
			t.Errorf("the chart does not contain %q", want)
		}
	}
	if err := Write(filepath.Join(t.TempDir(), "policies.txt"), read); err == nil {
		t.Error("Write accepted an unsupported file extension")
	}
}
