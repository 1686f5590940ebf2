LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN := bin

.PHONY: build test format lint vet unit generate proofs measure overhead run-local bench docs capacity soak soak-leaving soak-limits soak-forms soak-builds soak-crashes compare

build:
	go build -o $(BIN)/ . ./cmd/...

test: format lint vet unit

format:
	$(LINT) fmt --diff

lint:
	$(LINT) run ./...

vet:
	go vet ./...

unit:
	test/unit.sh

# The failure proofs alone, one line each.
proofs:
	test/proofs.sh

# The load patterns against the baselines, one tab-separated line each.
# MEASURE=nested/riga takes one of them.
measure:
	@MEASURE=$${MEASURE:-all} go test -count=1 -timeout 20m -v -run '^TestMeasure$$' ./internal/lab/mtlab | grep -P '\t'

# Real processes under faults, for the given seeds; docs/SOAK.md.
soak:
	SOAK=$${SEEDS:-1-50} go test -count=1 -timeout 30m -run '^TestSoak$$' ./platform/standin/mtsoak

# The same with targets that say that they leave or want a pause.
soak-leaving:
	SOAK=$${SEEDS:-1-50} go test -count=1 -timeout 30m -parallel $${AT_ONCE:-8} -run '^TestSoakLeavingTargets$$' ./platform/standin/mtsoak

# The same with targets that name how many requests they take.
soak-limits:
	SOAK=$${SEEDS:-1-50} go test -count=1 -timeout 30m -parallel $${AT_ONCE:-8} -run '^TestSoakLimitedTargets$$' ./platform/standin/mtsoak

# The same with targets that end their answers in any form, whole or broken off.
soak-forms:
	SOAK=$${SEEDS:-1-50} go test -count=1 -timeout 30m -parallel $${AT_ONCE:-8} -run '^TestSoakFormsOfAnswers$$' ./platform/standin/mtsoak

# The same with targets of several software versions, whose callers take streams up again.
soak-builds:
	SOAK=$${SEEDS:-1-50} go test -count=1 -timeout 30m -parallel $${AT_ONCE:-8} -run '^TestSoakBuilds$$' ./platform/standin/mtsoak

# The same with a part of prompts that crashes engines, and with most callers at one entry.
soak-crashes:
	SOAK=$${SEEDS:-1-50} go test -count=1 -timeout 30m -parallel $${AT_ONCE:-8} -run '^TestSoakCrashingPart$$|^TestSoakMostCallersAtOneEntry$$' ./platform/standin/mtsoak

# What entry and sidecar add to a direct call, on loopback, in one run.
overhead:
	go test -run '^$$' -bench Overhead -benchtime 1x ./internal/lab/mtoverhead | grep -v '^INFO'

# The whole path as separate processes on loopback.
run-local: build
	test/run-local.sh riga
	test/run-local.sh dakar

# The build needs no generator; this is for changes of the schema only.
generate:
	go install github.com/bufbuild/buf/cmd/buf@v1.75.0
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	PATH="$$(go env GOPATH)/bin:$$PATH" buf generate

# The tables of docs/ that are written from the code.
# Slopes for docs/CAPACITY.md; not part of the verdict.
bench:
	go test -run '^$$' -bench . -benchtime 300ms ./internal/placement/... ./internal/prefix/... ./internal/admission/... ./internal/members/mtroster \
		./internal/observe/mtevent ./internal/settings/mtcompile ./internal/request/mtshard ./internal/outside/mtengine | grep -E '^Benchmark'

# What control costs at two sizes, from the outside; not part of the verdict.
capacity: build
	test/capacity.sh

docs:
	UPDATE=1 go test -count=1 ./internal/observe/mtcode ./internal/observe/mtkind

# Variants of the system on the same days and seeds: EXPERIMENT=FILE, OUT=FOLDER,
# FLEETBENCH=PATH; test/experiments has some.
compare:
	test/compare.sh $(EXPERIMENT) $(OUT)
