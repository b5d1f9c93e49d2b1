#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
java_home=$(.ci/java-home)
mkdir -p target/review
"$java_home/bin/javac" -d target/review review/support/src/review/*.java
