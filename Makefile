# The commands of the README. BUILD may name another build folder.
BUILD ?= build

.PHONY: all setup build test lint format bench demo clean

all: build

setup:
	support/install-packages

build: setup
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) -j4 --output-on-failure --no-tests=error

lint: build
	support/lint $(BUILD)

format:
	support/format

bench: build
	cmake --build $(BUILD) --target benchmarks
	support/bench $(BUILD)

demo: build
	support/demo $(BUILD)

clean:
	rm -rf $(BUILD)
