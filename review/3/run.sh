#!/usr/bin/env bash
# Writes record.txt beside it. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
[ -x target/persimmonwing ] || { echo "cannot run: target/persimmonwing is not built"; exit 2; }
[ -x review/bin/poison ] || { echo "cannot run: review/build.sh has not run"; exit 2; }
TROUBLE=${TROUBLE:-1} review/bin/poison "$case"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
