# Only Go and make need to be installed; generate also needs protoc.
GO ?= go
SOURCES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build demo test lint generate

build:
	$(GO) build -o bin/quetzalpier ./cmd/quetzalpier

# Runs an example deployment as separate processes, injects failures and audits
# the run.
demo: build
	./demo.sh bin/quetzalpier

# TestCrowd bounds the memory of processes: it runs alone, and without the race detector.
# The environment variable SKIP is a pattern of tests to skip; CI sets it to those in
# KNOWN-RED.txt.
test: lint
	$(GO) vet ./...
	$(GO) test -race -parallel 6 -skip "$$SKIP" ./...
	$(GO) test -p 1 -parallel 2 -run '^TestCrowd' -skip "$$SKIP" ./soak

lint:
	@unformatted="$$($(GO) tool gofumpt -l $(SOURCES))"; \
	if [ -n "$$unformatted" ]; then echo "files that are not formatted with gofumpt:"; echo "$$unformatted"; exit 1; fi
	$(GO) tool revive -config revive.toml -set_exit_status ./...

# Requires protoc (Debian package protobuf-compiler).
generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=quetzalpier wire/wire.proto
