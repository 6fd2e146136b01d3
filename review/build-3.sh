#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 and the following start, offline, from the libraries that the build
# of the deploy file has put into target/lib.
set -euo pipefail
cd "$(dirname "$0")/common-3"
rm -rf target
mkdir -p target
javac --release 17 -Xlint:all,-try -cp "../../target/lib/*" -d target src/*.java
