#!/bin/sh
# Builds the stand-ins of all cases: one program, with the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p .build
rustc --edition 2021 -O --crate-name review_harness -o .build/harness harness/main.rs
