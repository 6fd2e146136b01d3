#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../common-3/run-case.sh" RepeatedStream "$here"
