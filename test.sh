#!/usr/bin/env bash
# Everything a change must pass: format, lints, documentation, build and tests.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib
cargo build --locked --release
cargo test --locked --workspace
