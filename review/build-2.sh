#!/bin/sh
# Builds the stand-ins and the tests of the second review's cases, with rustc alone and without a network.
# The scheduler itself is built by the deploy file's `build`.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name stand_ins -o "$out/libstand_ins.rlib" review/stand-ins-2/stand_ins.rs
for case in 6 7 8 9 10; do
    test -f "review/$case/test.rs" || continue
    rustc --edition 2024 -O --crate-name "case_$case" -L "$out" --extern stand_ins="$out/libstand_ins.rlib" \
        -o "$out/case-$case" "review/$case/test.rs"
done
