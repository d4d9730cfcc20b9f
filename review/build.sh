#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
