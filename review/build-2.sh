#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-in-2/Cargo.toml --target-dir target/review
