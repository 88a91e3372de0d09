# Go and make are all that a fresh machine needs.
GO ?= go
SOURCES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build demo test lint generate

build:
	$(GO) build -o bin/quetzalpier ./cmd/quetzalpier

# The main job: a deployment as separate processes, under failures.
demo: build
	./demo.sh bin/quetzalpier

test: lint
	$(GO) vet ./...
	$(GO) test -race -parallel 6 ./...

lint:
	@unformatted="$$($(GO) tool gofumpt -l $(SOURCES))"; \
	if [ -n "$$unformatted" ]; then echo "gofumpt would change:"; echo "$$unformatted"; exit 1; fi
	$(GO) tool revive -config revive.toml -set_exit_status ./...

# Needs protoc, which Debian has as protobuf-compiler.
generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=quetzalpier wire/wire.proto
