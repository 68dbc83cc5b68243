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

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v _generated.h | xargs clang-format -i

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
