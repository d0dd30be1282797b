#!/usr/bin/env bash
# Plays a worker that runs unsafe requests and answers part of them with 503 without X-Comfreyrail-Not-Run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin -record review/1/record.txt refused
