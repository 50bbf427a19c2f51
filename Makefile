.PHONY: build test demo faults schedules bench-control bench-policy bench-fair bench-returns lint proto clean

BIN := bin

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test $(TESTFLAGS) ./...

lint:
	@out=$$(gofmt -l cmd internal); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
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

clean:
	rm -rf $(BIN)
