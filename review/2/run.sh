#!/usr/bin/env bash
# Plays requests with a part that crashes each worker that begins to write an answer on it.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin -record review/2/record.txt poison-event
