#!/usr/bin/env bash
# Builds the gateway for the platform into target/gateway, with an archive of its loaded classes.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. config/java25.sh
mvn --batch-mode --no-transfer-progress --quiet -DskipTests -Dspotless.check.skip -Dcheckstyle.skip \
    package --projects platform --also-make
rm -rf target/gateway
mkdir -p target/gateway
cp -r platform/target/lib target/gateway/lib
cp platform/target/platform-0.1.0-SNAPSHOT.jar target/gateway/wasabilug.jar
