#!/usr/bin/env bash
# Builds the stand-ins of all scripts under review/ into target/review. The programs themselves
# come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja
cmake --build target/review
