#!/usr/bin/env bash
# Builds what the scripts of the third review start, into target/review-3. The programs of the deploy file are built by
# its own build. Needs a compiler and nlohmann-json, as the project does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/common-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" -o "target/review-3/${name//_/-}"
done
