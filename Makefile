.PHONY: help build test race lint run

help:
	@echo "make build | test | race | lint | run CONFIG=config.json"

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -count=1 -race ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...

run: build
	bin/fernvane serve -config $(CONFIG)
