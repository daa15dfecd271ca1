#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/target.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/java25.sh
rm -rf review/target
mkdir -p review/target
"$JAVA_HOME/bin/javac" -d review/target review/stand/*.java
