# Each checkout has a linter cache of its own. A shared one holds findings under the paths of other checkouts, and once such a
# checkout is removed, golangci-lint can no longer read the nolint comments there and reports what they allow.
export GOLANGCI_LINT_CACHE := $(CURDIR)/.cache/golangci-lint

.PHONY: build test race lint demo run sim release-check variants

build:
	.ci/build

test:
	scripts/test

race:
	go test -race ./...

lint:
	@unformatted=$$(git ls-files -z '*.go' | xargs -0 gofmt -l); test -z "$$unformatted" || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

demo: build
	exec bin/micafront demo

run: build
	exec bin/micafront

sim: build
	exec bin/simadapter

release-check:
	scripts/release-check

variants:
	scripts/variants
