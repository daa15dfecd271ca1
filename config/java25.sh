# Finds a JDK 25 or newer and exports it as JAVA_HOME. Source this file; it sets
# nothing and returns 1 with one line on standard error where there is none.
MINIMUM_JAVA_VERSION=25

java_major_version() {
    [ -x "$1/bin/javac" ] || return 1
    "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9][0-9]*\).*/\1/p'
}

is_recent_jdk() {
    local version
    version=$(java_major_version "$1") || return 1
    [ -n "$version" ] && [ "$version" -ge "$MINIMUM_JAVA_VERSION" ]
}

find_recent_jdk() {
    local candidate on_path
    if [ -n "${JAVA_HOME:-}" ] && is_recent_jdk "$JAVA_HOME"; then
        printf '%s\n' "$JAVA_HOME"
        return 0
    fi
    on_path=$(command -v javac || true)
    if [ -n "$on_path" ]; then
        candidate=$(dirname "$(dirname "$(readlink -f "$on_path")")")
        if is_recent_jdk "$candidate"; then
            printf '%s\n' "$candidate"
            return 0
        fi
    fi
    for candidate in /usr/lib/jvm/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
        if is_recent_jdk "$candidate"; then
            printf '%s\n' "$candidate"
            return 0
        fi
    done
    return 1
}

if ! JAVA_HOME=$(find_recent_jdk); then
    echo "wasabilug needs a JDK $MINIMUM_JAVA_VERSION or newer: install one and set JAVA_HOME to it" >&2
    return 1
fi
export JAVA_HOME
export PATH="$JAVA_HOME/bin:$PATH"
