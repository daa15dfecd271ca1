#!/usr/bin/env bash
# Runs one drill: play.sh FOLDER-OF-THE-CASE CLASS ARGUMENT...; see the run.sh of each case.
set -uo pipefail
CASE=$(cd "$1" && pwd)
CLASS=$2
shift 2
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. config/java25.sh || exit 2
[ -d target/review-3/standthree ] || { echo "build first: review/build-3.sh" >&2; exit 2; }
timeout --kill-after=5 115 "$JAVA_HOME/bin/java" -Xmx256m -cp 'target/review-3:target/gateway/lib/*' \
    "standthree.$CLASS" "$CASE/record.txt" "$@" &
DRILL=$!
# The drill ends its processes when it is stopped itself.
trap 'kill "$DRILL"; wait "$DRILL"; exit 2' TERM INT HUP
wait "$DRILL"
STATUS=$?
[ "$STATUS" -le 1 ] && exit "$STATUS"
exit 2
