#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/gooseberryslip ] || [ ! -x target/review-harness ]; then
  echo "build first: the build of the deploy file, then review/build.sh"
  exit 2
fi
exec target/review-harness uploads "$here/record.txt"
