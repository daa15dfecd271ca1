#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They need the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/java25.sh
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-2/standtwo/*.java
