# Everything a newcomer types. Each target installs what it needs first; the second time nothing is rebuilt.
BUILD ?= build/release
# Paths relative to the checkout: another checkout of the same code, as CI's, finds what was compiled here.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: deps build run test lint format bench proto sanitize soak
deps:
	@scripts/install_deps.sh

$(BUILD)/build.ninja: CMakeLists.txt | deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null

build: deps $(BUILD)/build.ninja
	@cmake --build $(BUILD)

run: deps $(BUILD)/build.ninja
	@cmake --build $(BUILD) --target rosearch rosearch_testbed
	@scripts/demo.sh $(BUILD)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j "$$(nproc)"

lint: build
	@scripts/lint.sh $(BUILD)

format:
	@git ls-files '*.h' '*.cc' | grep -v '\.pb\.' | xargs clang-format -i

bench: build
	@$(BUILD)/rosearch_bench

proto: deps
	@scripts/generate_proto.sh

sanitize: deps
	@scripts/sanitize.sh address
	@scripts/sanitize.sh thread
