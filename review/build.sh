#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review: those of this folder, and the project's own store stand-in,
# from its source. Needs the libraries that deploy/build has put into target/lib.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -nowarn -encoding UTF-8 -cp 'target/lib/*' -d target/review \
    platform/src/test/java/org/cranberrybend/platform/standin/StandInStore.java \
    review/standin/*.java
