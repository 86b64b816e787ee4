#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2/main.rs
