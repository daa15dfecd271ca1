#!/usr/bin/env bash
# Plays a case: play.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. The program ends all processes that it started.
set -u
FOLDER=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. config/java25.sh || exit 2
if [ ! -f target/gateway/wasabilug.jar ] || [ ! -d target/review-2 ]; then
    echo "Run 'bash deploy/build.sh' and 'bash review/build-2.sh' first." >&2
    exit 2
fi
timeout --signal=TERM --kill-after=3 115 \
    java -Xmx256m -cp target/review-2 "standtwo.$2" "$FOLDER/record.txt"
STATUS=$?
tail -n 1 "$FOLDER/record.txt"
[ "$STATUS" -le 1 ] && exit "$STATUS"
exit 2
