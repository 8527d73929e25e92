#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of the
# deploy file. Needs the packages of the deploy file and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-gcc} -D_GNU_SOURCE -std=c11 -O2 -g -pthread -Wall -Wextra -Werror \
    -o target/review/case review/stand-in/*.c \
    $(pkg-config --cflags --libs jansson libevent)
