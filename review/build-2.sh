#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/stand_in_2/Cargo.toml --target-dir target/review_2
