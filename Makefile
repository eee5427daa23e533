.PHONY: build test race lint run sim

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

lint:
	@test -z "$$(gofmt -l *.go internal cmd)" || { gofmt -l *.go internal cmd; exit 1; }
	go vet ./...

run: build
	exec bin/micafront

sim: build
	exec bin/wirehost
