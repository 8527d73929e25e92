# Builds the fireflyvalve binary, the fakes and the tests.
#
#   make               build everything
#   make check         run all tests; SANITIZE=address,undefined or
#                      SANITIZE=thread builds with sanitizers
#   make demo          run jobs on three entry hosts and six fake workers
#   make bench         run the benchmarks; writes build/bench.csv
#   make chaos SEED=n  test pairs of concurrent faults with one seed
#   make soak SEED=n SECONDS=s
#                      run the fault-injection soak test of the entry hosts
#   make soak-seeds    run the soak test with all seeds that failed before
#   make lint          run clang-tidy and cppcheck
#   make format        format the sources with clang-format
#   make format-check  check the format with clang-format

SANITIZE ?=
SEED ?= 1
SECONDS ?= 60
comma := ,
BUILD ?= build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))

CC := gcc
CXX := g++
PACKAGES := liburcu msgpack argtable2 log4c libcurl jansson libxxhash libsodium \
            libevent
WARNINGS := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
            -Wmissing-prototypes -Wno-missing-field-initializers
SANITIZE_FLAGS := $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer)
CPPFLAGS := -D_GNU_SOURCE -Isrc -Iplatform -Itests/harness $(shell pkg-config --cflags $(PACKAGES))
CFLAGS := -std=c11 -O2 -g -pthread $(WARNINGS) $(SANITIZE_FLAGS)
CXXFLAGS := -std=c++17 -O2 -g -Wall -Wextra -Werror $(SANITIZE_FLAGS)
LDFLAGS := -pthread $(SANITIZE_FLAGS)
LDLIBS := $(shell pkg-config --libs $(PACKAGES)) -lcivetweb -ltomlplusplus -lstdc++ -lm
TEST_LDLIBS := $(shell pkg-config --libs cunit)

SOURCES := $(wildcard src/*.c platform/*.c)
CXX_SOURCES := $(wildcard src/*.cc)
MAIN_OBJECT := $(BUILD)/src/fireflyvalve.o
OBJECTS := $(SOURCES:%.c=$(BUILD)/%.o) $(CXX_SOURCES:%.cc=$(BUILD)/%.o)
LIBRARY := $(BUILD)/libfireflyvalve.a
BINARY := $(BUILD)/fireflyvalve

FAKES := $(patsubst tests/fakes/%.c,$(BUILD)/%,$(wildcard tests/fakes/*.c))
HARNESS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/harness/*.c))
HARNESS_LIBRARY := $(BUILD)/libharness.a
UNIT_TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/unit/*.c))
PROMISE_TESTS := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/promises/*.c))
SOAK := $(BUILD)/tests/soak/soak
SOAK_OBJECTS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))
BENCHES := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/bench/*.c))
C_FILES := $(wildcard src/*.c platform/*.c tests/*/*.c)
ALL_FILES := $(C_FILES) $(wildcard src/*.h src/*.cc platform/*.h tests/*/*.h)

.PHONY: all check check-unit check-promises demo bench chaos soak soak-seeds lint \
        format format-check clean
.SECONDARY:

.PHONY: binary
binary: $(BINARY)

all: $(BINARY) $(FAKES) $(UNIT_TESTS) $(PROMISE_TESTS) $(BENCHES) $(SOAK)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(LIBRARY): $(filter-out $(MAIN_OBJECT),$(OBJECTS))
	@rm -f $@
	ar rcs $@ $^

$(BINARY): $(MAIN_OBJECT) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# An archive, so that each fake links only the harness objects it uses.
$(HARNESS_LIBRARY): $(HARNESS)
	@rm -f $@
	ar rcs $@ $^

$(FAKES): $(BUILD)/%: $(BUILD)/tests/fakes/%.o $(HARNESS_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(SOAK): $(SOAK_OBJECTS) $(HARNESS_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(TEST_LDLIBS) $(LDLIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(HARNESS_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(TEST_LDLIBS) $(LDLIBS)

check: all
	BUILD=$(BUILD) scripts/run-tests $(UNIT_TESTS) $(PROMISE_TESTS) $(SOAK)

check-unit: $(UNIT_TESTS)
	BUILD=$(BUILD) scripts/run-tests $(UNIT_TESTS)

check-promises: all
	BUILD=$(BUILD) scripts/run-tests $(PROMISE_TESTS)

demo: all
	BUILD=$(BUILD) scripts/demo

bench: all
	BUILD=$(BUILD) scripts/bench

chaos: all
	BUILD=$(BUILD) SEED=$(SEED) $(BUILD)/tests/promises/chaos

soak: all
	BUILD=$(BUILD) $(SOAK) --seed $(SEED) --seconds $(SECONDS)

soak-seeds: all
	BUILD=$(BUILD) scripts/soak-seeds

lint:
	@mkdir -p $(BUILD)
	printf '%s\n' $(C_FILES) | xargs -P 8 -n 3 sh -c \
	    'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=c11' sh \
	    2>$(BUILD)/clang-tidy.log || { cat $(BUILD)/clang-tidy.log; exit 1; }
	cppcheck --quiet --error-exitcode=1 --enable=warning,portability \
	    --inline-suppr --suppress=missingIncludeSystem \
	    --suppress=unknownMacro -j 8 -Isrc -Iplatform -Itests/harness src platform tests

format:
	clang-format -i $(ALL_FILES)

format-check:
	clang-format --dry-run --Werror $(ALL_FILES)

clean:
	rm -rf build build-* target

-include $(OBJECTS:.o=.d) $(HARNESS:.o=.d) \
    $(wildcard $(BUILD)/tests/*/*.d)
