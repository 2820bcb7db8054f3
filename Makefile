.PHONY: build demo test race check bench

build:
	go build ./...

# A whole deployment on this machine: stand-in, entries, load, a move, a replacement.
demo:
	bash scripts/demo.sh

test:
	go test -json ./... | go run ./cmd/redcheck KNOWN-RED.txt

race:
	go test -race -json ./... | go run ./cmd/redcheck KNOWN-RED.txt

check:
	bash .ci/run
