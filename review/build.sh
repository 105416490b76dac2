#!/bin/sh
# Builds the stand-ins of the cases: one program for each, of the standard library alone. They are left in
# target/review. Run it from anywhere, after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
