#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15, from the packages that the project's own build
# has fetched.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
