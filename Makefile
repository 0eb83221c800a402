# Targets: build, test, race, lint, overhead, demo, faults, capacity, docs-check, bench-calm, soak.
GO ?= go

.PHONY: build test race lint overhead demo docs-check capacity faults bench-calm soak
# Tests that fail because of a known fault: test and race print and skip them.
KNOWN_RED := ^($(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -))$$
# Tests that measure a process under a crowd of callers. They run one at a time, apart from the others.
CROWDS := ^Test(Platform)?CrowdOf
CROWD_PACKAGES := ./internal/process/gateway ./platform

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

test:
	@cat KNOWN-RED.txt
	$(GO) test -count=1 -skip '$(KNOWN_RED)|$(CROWDS)' ./...
	$(GO) test -count=1 -p 1 -run '$(CROWDS)' -skip '$(KNOWN_RED)' $(CROWD_PACKAGES)

race:
	@cat KNOWN-RED.txt
	$(GO) test -count=1 -race -skip '$(KNOWN_RED)|$(CROWDS)' ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }
	$(GO) vet ./...
	$(GO) mod tidy -diff
	$(GO) tool staticcheck ./...

demo: build
	bash scripts/demo.sh

# timeout also ends the run if a command ignores its own time limit.
docs-check: build
	timeout -k 10 60 scripts/docs-check.sh

# Measures how costs grow with the size of the fleet and compares the slopes with the
# budgets, in under 3 minutes.
capacity:
	@$(GO) run ./cmd/loadgen capacity

# Runs real processes under the fault schedule that SEED selects.
faults: build
	timeout 150 scripts/faults.sh

# Runs gateway processes of platform/ under random faults. SEEDS is a number or a range;
# KEEP is a directory for the logs of failed runs.
SEEDS ?= 1-50
KEEP ?=
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_KEEP=$(KEEP) $(GO) test -count=1 -timeout 20m -run TestSoak ./platform

# Measures the latency that a gateway adds to 200 streams and compares it with the goals
# of the design page.
overhead:
	PERSIMMONWING_OVERHEAD=1 $(GO) test -count=1 -timeout 60s -v -run TestGatewayOverhead ./internal/process/gateway

# KIT is the directory of the users' kit with their benchmark; it is not part of the
# repository.
KIT ?= ../given/kit/more/system
FLEETBENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
SITES = further/senalme-lavado large/kernfield-wa-large

# Runs the quiet day of a small and of a large site with the users' benchmark.
bench-calm:
	@test -x $(FLEETBENCH) || { echo "bench-calm: the users' kit is not there; nothing was played"; exit 0; }; \
	for s in $(SITES); do $(FLEETBENCH) run $(KIT)/$$s.toml quiet-1 --why "bench-calm" || exit 1; done
