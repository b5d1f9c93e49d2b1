#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3; run after the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
JAVA_HOME=$("$root/.ci/java-home")
out=$root/target/review-3
rm -rf "$out"
mkdir -p "$out"
find "$root/review/support-3" "$root"/review/1[1-5] -name '*.java' -print0 2>/dev/null \
    | xargs -0 "$JAVA_HOME/bin/javac" -d "$out"
