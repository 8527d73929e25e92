#!/bin/sh
# Builds the stand-in of the cases 11 to 15, after the build of the deploy
# file. Needs no package beyond those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
gcc -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
    review/common-3/platform.c review/common-3/driver.c \
    review/common-3/cases.c -o target/review-3/driver \
    $(pkg-config --cflags --libs libevent libevent_pthreads jansson)
