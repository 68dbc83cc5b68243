#!/bin/sh
# Case 9. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption, and must exit with 0.
set -u
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(mktemp -d) || exit 2
timeout 118 target/review-2/case9 review/9/record.txt "$folder"
status=$?
rm -rf "$folder"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
