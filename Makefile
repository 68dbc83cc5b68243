PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: all packages test lint format demo bench bench-capacity explore soak clean

all:
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET)

# Installs the Debian packages that tools/packages.txt declares, where they are missing.
packages:
	@tools/install-packages

test: packages all
	@tools/run-tests $(BUILD)

lint: packages all
	@tools/lint $(BUILD)

# The whole path with separate processes on loopback, through failures.
demo: packages all
	@tools/demo $(BUILD) kask-parn
	@tools/demo $(BUILD) nyumba-bora

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v _generated.h | xargs clang-format -i

# All measurements but the capacity's; results as JSON beside the build.
RESULTS := $(BUILD)/results
bench: packages all
	@mkdir -p $(RESULTS)
	@git describe --always --dirty >$(RESULTS)/commit
	@$(BUILD)/bench/routing/bench_routing --output=$(RESULTS)/routing.json
	@$(BUILD)/bench/keys/bench_keys
	@$(BUILD)/bench/catchup/bench_catchup
	@$(BUILD)/bench/tasks/bench_tasks
	@tools/bench-path $(BUILD) --output $(RESULTS)/path.json
	@$(BUILD)/bench/policy/bench_policy $(RESULTS)/policy.json
	@$(BUILD)/bench/dispatch/bench_dispatch

# Measures the slopes of docs/CAPACITY.md and draws its plots. COMPARE=FILE sets an earlier result
# beside this one.
bench-capacity: packages
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET) --target bench_capacity bulrushrilld standin_platform
	@tools/measure-daemon $(BUILD) >$(BUILD)/daemon.dat
	@$(BUILD)/bench/capacity/bench_capacity --daemon $(BUILD)/daemon.dat \
	    --output $(BUILD)/capacity.json --plot-data $(BUILD)/capacity.dat \
	    --commit $$(git describe --always --dirty) $(if $(COMPARE),--compare $(COMPARE))
	@tools/plot-capacity $(BUILD)/capacity.dat docs/plots

clean:
	@rm -rf build

# Runs many more seeds of the explorer than the tests, and then without each guard in turn.
EXPLORE_SEEDS ?= 20000
explore: all
	@$(BUILD)/bench/explore/explore_tasks 1 $(EXPLORE_SEEDS)
	@$(BUILD)/bench/explore/explore_tasks mutations 3000

# Real daemons with faults from outside, seed after seed.
SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1
soak: all
	@$(BUILD)/soak/soak --daemon $(BUILD)/programs/bulrushrilld/bulrushrilld \
	    --seeds $(SOAK_SEEDS) --first-seed $(SOAK_FIRST)
