#!/bin/bash
# Builds the programs of the cases 11 to 15, which hold their stand-ins. They use only the
# standard library, so nothing is fetched. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-3/case-$number" "$source"
done
