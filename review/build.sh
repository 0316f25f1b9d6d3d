#!/bin/sh
# Builds the stand-ins of all cases with the compiler alone; no package is needed.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
    name=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -A warnings -o "target/review/case-$name" "$case"
done
