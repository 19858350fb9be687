.PHONY: build test race lint run try rehearse measure sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# go test ./..., and KNOWN-RED.txt: failures of the tests that it lists are printed and passed over.
test:
	go run ./internal/knownred ./...

race:
	go test -race -count=1 ./...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt would change: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

# A balancer on 127.0.0.1:11211 with one cache host that need not exist; ends with an interrupt.
run: build
	GW_CONFIG=deploy/sample.json bin/streamrail

# A played fleet with two balancers: some keys are read and written through them and printed.
try: build
	bin/rehearse up --try

# All built-in rehearsals, some minutes; reports and logs go to out/.
rehearse: build
	bin/rehearse suite --out out

# How far the load generator goes on this machine, and what a balancer adds to a request; some minutes.
measure: build
	bin/rehearse measure

# The deployments in deploy/sites need files of the operators' bench beside them: make sites FROM=folder lays them there.
sites:
	@test -n "$(FROM)" || { echo "make sites FROM=folder, the one that has real.json, wire.json and unlock.txt" >&2; exit 2; }
	cp $(FROM)/real.json $(FROM)/wire.json $(FROM)/unlock.txt deploy/sites/
