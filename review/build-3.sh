#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The build of the deploy file goes first.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -d "$out" -cp "target/cranberrybend.jar:target/lib/*" review/standin-3/src/review3/*.java
