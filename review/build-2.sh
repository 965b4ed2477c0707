#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10, from the packages that the project's lock file
# names.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked
