.PHONY: build demo test race check capacity measure

build:
	go build ./...

# Whole deployments on this machine: requests on stand-ins, then a day of jobs.
demo:
	bash scripts/demo.sh
	bash scripts/jobday.sh

test:
	go test -json ./... | go run ./cmd/redcheck KNOWN-RED.txt

race:
	go test -race -json ./... | go run ./cmd/redcheck KNOWN-RED.txt

check:
	bash .ci/run

# Measures the slopes and writes the tables of docs/CAPACITY.md.
capacity:
	go run ./cmd/capacity --page docs/CAPACITY.md

# Measures what docs/MEASURES.md says and writes its tables.
measure:
	go run ./cmd/measure --page docs/MEASURES.md
