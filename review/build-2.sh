#!/usr/bin/env bash
# Builds the stand-ins and clients of review/6 to review/10 into target/review-2; to be run after deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(.ci/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 review/support-2/src/*.java
