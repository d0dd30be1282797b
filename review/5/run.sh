#!/usr/bin/env bash
# Plays a planned stop beside clients that keep their connections.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin -record review/5/record.txt stop
