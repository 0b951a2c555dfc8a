#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. No dependency, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
