#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -e target/cranberrybend.jar ] || [ ! -e target/review-2/FalseRefusal.class ]; then
  echo "not run: build with deploy/build and review/build-2.sh first"
  exit 2
fi
exec java -Xmx768m -cp target/review-2 FalseRefusal review/10
