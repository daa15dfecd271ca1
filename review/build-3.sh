#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later into target/review-3, after deploy/build.sh.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/java25.sh
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 -cp 'target/gateway/lib/*' review/stand-3/standthree/*.java
