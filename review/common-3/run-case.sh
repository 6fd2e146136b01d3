#!/usr/bin/env bash
# Runs a case: run-case.sh NAME DIRECTORY. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
name=$1
directory=$2
if [ ! -s "$root/target/heatherloft-entry.jar" ] || [ ! -s "$root/review/common-3/target/Main.class" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
timeout -k 5 114 java -Xmx1g -XX:+UseSerialGC -cp "$root/review/common-3/target:$root/target/lib/*" \
  Main "$name" "$root" "$directory/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
