#!/usr/bin/env bash
# Builds every stand-in that the scripts in review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 --target review-3
