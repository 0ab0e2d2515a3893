#!/usr/bin/env bash
# Case 5; see claim.txt. With TROUBLE=0 no frontend leaves.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/node ] && [ -x target/standins-2 ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/standins-2 unlisted-target review/5/record.txt
