#!/usr/bin/env bash
# Builds the stand-ins and the cases with the JDK alone, into target/review. Needs nothing but the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/common/*.java review/[1-9]/*.java
