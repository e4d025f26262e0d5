#!/usr/bin/env bash
# Everything a change must pass: format, lints, documentation, build and tests.
#
# KNOWN-RED.txt may list up to three tests that fail for a fault that is not mended yet, one line each as
# "test: cause; issue". These are printed and passed over; without the file everything must pass.
set -euo pipefail
cd "$(dirname "$0")"

known_red=()
if [ -s KNOWN-RED.txt ]; then
    if [ "$(grep -c . KNOWN-RED.txt)" -gt 3 ]; then
        echo "KNOWN-RED.txt lists more than three tests" >&2
        exit 1
    fi
    echo "Known to fail, and passed over:"
    cat KNOWN-RED.txt
    while IFS=: read -r test _; do
        [ -z "$test" ] || known_red+=(--skip "$test")
    done < KNOWN-RED.txt
fi

cargo fmt --check
cargo clippy --locked --workspace --all-targets -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --lib
cargo build --locked --release
cargo test --locked --workspace --exclude simulator -- ${known_red[@]+"${known_red[@]}"}
# Simulated fleets: optimised, and with the draws of the runtime seeded, so that a seed gives the same run each time.
RUSTFLAGS="--cfg tokio_unstable" cargo test --locked --release -p simulator --target-dir target/simulated -- \
    ${known_red[@]+"${known_red[@]}"}
