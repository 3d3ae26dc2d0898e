#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 6 to 10 into target/review-2/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-ins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2
