#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, with the compiler and the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec rustc --edition 2024 -O -o target/review-3/standin review/standins-3/main.rs
