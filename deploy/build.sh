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

# system.toml can't choose by the kind of machine, and a link to the program costs the platform's
# allowance for installed runtimes; so it is checked here that its path fits this machine.
PROGRAM=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
if ! is_recent_jdk "$(dirname "$(dirname "$PROGRAM")")"; then
    echo "deploy/system.toml runs $PROGRAM, which is no JDK $MINIMUM_JAVA_VERSION for this $(uname -m)" \
        "machine: write $JAVA_HOME/bin/java there" >&2
    exit 1
fi

# A rehearsal records the classes that a start and the first requests load. Without the archive the
# program starts more slowly and is otherwise the same. The options are those of deploy/system.toml:
# an archive made with others is used only in part. It chooses its own ports and writes its settings.
WASABILUG_SETTINGS=target/gateway/rehearsal.json \
    "$PROGRAM" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    --sun-misc-unsafe-memory-access=allow \
    -XX:ArchiveClassesAtExit=target/gateway/classes.jsa \
    -cp target/gateway/wasabilug.jar org.wasabilug.platform.rehearsal.RehearsalMain \
    > target/gateway/rehearsal.log 2>&1 || true
