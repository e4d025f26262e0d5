#!/usr/bin/env bash
# Everything a change must pass: format, lints, documentation, build and tests.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib
cargo build --locked --release
cargo test --locked --workspace --exclude emulator
# Simulated fleets: optimised, and with the draws of the runtime seeded, so that a seed gives the same run each time.
RUSTFLAGS="--cfg tokio_unstable" cargo test --locked --release -p emulator --target-dir target/simulated
