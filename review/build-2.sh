#!/bin/sh
# Builds the stand-ins of the cases 4 and up, after the build of the deploy file. It needs no network: the package has no dependencies.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
