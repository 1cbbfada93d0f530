#!/bin/sh
# Builds the stand-ins of the cases, which need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*; do
  rustc --edition 2024 -O -o "target/review/case-${case##*/}" "$case/case.rs"
done
