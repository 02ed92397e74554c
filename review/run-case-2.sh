#!/bin/sh
# Runs the program of one case: run-case-2.sh PROGRAM FOLDER. Ends with 1 if the rule was broken, with
# 0 if it held, with 2 if the case could not run.
program=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/trestled ] && [ -x "target/review-2/release/$program" ] || {
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
}
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
# The programs run in a process group of their own, which is ended as a whole.
setsid "target/review-2/release/$program" "$record" &
group=$!
trap 'kill -KILL -"$group" 2>/dev/null' INT TERM
wait "$group"
status=$?
kill -KILL -"$group" 2>/dev/null
if [ -n "$REVIEW_KEEP" ]; then echo "logs: $REVIEW_TMP"; else rm -rf "$REVIEW_TMP"; fi
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
