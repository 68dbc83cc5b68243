PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: all packages test lint format demo bench bench-capacity explore clean

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

clean:
	@rm -rf build

# Runs many more seeds of the explorer than the tests, and then without each guard in turn.
EXPLORE_SEEDS ?= 20000
explore: all
	@$(BUILD)/bench/explore/explore_tasks 1 $(EXPLORE_SEEDS)
	@$(BUILD)/bench/explore/explore_tasks mutations 3000
