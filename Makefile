# Targets for developers and CI. "make test" is what CI runs.
GO ?= go

.PHONY: build test lint unit demo measure bench tools

build:
	$(GO) build -o bin/ ./cmd/...

test: lint unit

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race -timeout 6m ./...

demo: build
	bin/standin demo

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./pkg/...
