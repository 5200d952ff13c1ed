#!/usr/bin/env bash
# Runs the driver of one case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# usage: run-case.sh N
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
case=$1
folder=$(mktemp -d) || exit 2
[ -x "$root/target/hickory-entry" ] && [ -x "$root/target/hickory-agent" ] && [ -x "$root/review/out/case-$case" ] || {
  echo "build the deploy file, then run review/build.sh" >&2
  exit 2
}
REVIEW_ROOT=$root REVIEW_TMP=$folder REVIEW_CASE=$root/review/$case timeout -s KILL 115 "$root/review/out/case-$case"
code=$?
if [ "${KEEP:-0}" = 1 ]; then echo "logs: $folder" >&2; else rm -rf "$folder"; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
