.PHONY: soak build test demo faults schedules bench-control bench-policy bench-fair bench-returns lint proto days seeds clean

BIN := bin

build:
	go build -o $(BIN)/ ./cmd/...

# The whole suite; what KNOWN-RED.txt lists is printed and fails nothing.
test:
	scripts/test.sh $(TESTFLAGS)

lint:
	@out=$$(gofmt -l cmd internal platform); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

demo: build
	scripts/demo.sh

# Randomised fault schedules of the pure cores.
schedules: build
	$(BIN)/schedules

# What control and relaying cost, with separate processes: about six minutes.
bench-control: build
	$(BIN)/benchcontrol --bin $(BIN)

# Placement and retention against the least loaded target without restore.
bench-policy: build
	$(BIN)/benchpolicy

# Contexts that return after eviction, in running daemons, against no stores.
bench-returns: build
	$(BIN)/benchreturns

# A quiet organisation beside a loud one.
bench-fair: build
	$(BIN)/benchfair

# Each case in processes of its own; see scripts/faults.sh.
faults: build
	scripts/faults.sh

# Needs protoc, protoc-gen-go and protoc-gen-twirp; the generated code is committed.
proto:
	cd internal/peer && protoc --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative peer.proto
	for p in mirror contextstore loadshare origins forwarding/witness; do (cd internal/$${p%/*} && \
		protoc --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative $${p##*/}.proto); done
	rm -f internal/loadshare/loadshare.twirp.go

# The days of deploy/days on a site of the users' platform: make days BENCH=... SITE=...
days:
	scripts/days.sh $(BENCH) $(SITE)

clean:
	rm -rf $(BIN)

# Daemons as processes under faults from outside: SEEDS seeds from FIRST on, SECONDS each.
soak:
	SOAK_SEEDS=$(or $(SEEDS),50) SOAK_FIRST=$(or $(FIRST),1) SOAK_SECONDS=$(or $(SECONDS),6) \
		go test -run TestSoak -count=1 -timeout 60m -v ./platform

# Random tests with fresh seeds, for some minutes.
seeds:
	FRESH_SEEDS=1 go test -count=$(or $(COUNT),20) $$(grep -rl '"pgregory.net/rapid"' --include=*_test.go internal | xargs -n1 dirname | sort -u | sed 's|^|./|')
