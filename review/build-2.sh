#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review (review/4 and on) start. Needs the build of the deploy
# file beside it, no network and nothing but rustc.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/standins-2/main.rs
