#!/bin/sh
# Builds the stand-in and the cases of this review into target/review-2/. The
# entry hosts are built by the deploy file's command before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Ireview/common-2 -pthread"
gcc $flags -o target/review-2/cell review/common-2/cell.c -levent -ljansson
for number in 6 7 8 10; do
    gcc $flags -o "target/review-2/case-$number" \
        "review/$number/scenario.c" review/common-2/driver.c
done
