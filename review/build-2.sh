#!/bin/sh
# Builds the stand-ins that the scripts of the second review's cases start, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
