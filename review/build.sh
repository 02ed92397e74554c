#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The daemon itself comes from the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --offline --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
