#!/usr/bin/env bash
# Runs the case after deploy/build and review/build.sh; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule is broken.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
java_home=$(.ci/java-home) || exit 2
exec timeout -k 5 115 "$java_home/bin/java" -Xmx512m -cp target/review review.EndlessBody "$folder" >/dev/null
