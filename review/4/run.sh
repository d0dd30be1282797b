#!/usr/bin/env bash
# Plays workers that spoil the signature of part of their answers.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin -record review/4/record.txt unsealed
