.PHONY: help build platform test race lint run

help:
	@echo "make build | platform | test | race | lint | run CONFIG=config.json"

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# Builds the same way as the operators' platform: linked against the C library, which requires a C compiler.
platform:
	mkdir -p bin && CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	.ci/tests

race:
	go test -count=1 -race ./...

lint:
	.ci/lint

run: build
	bin/fernvane serve -config $(CONFIG)
