#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The daemon itself comes from the
# build of the deploy file. The packages are those of the workspace, at the same versions.
set -e
cd "$(dirname "$0")/.."
cp Cargo.lock review/harness-2/Cargo.lock
cargo build --offline --release --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
