#!/bin/sh
# Builds the stand-ins and drivers of the cases from what is already fetched.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
