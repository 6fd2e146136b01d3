#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs a JDK 17 and what the build of the deploy file
# has left in target/lib; works offline.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 -cp "target/lib/*" review/common-2/src/*.java
