#!/bin/sh
# Runs a case in a process group of its own (that of timeout), for 115 s at most, and ends all processes of it.
# The argument is the folder of the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$1" && pwd) || exit 2
program="$folder/../../target/review/case-${folder##*/}"
[ -x "$program" ] || { echo "not built: run review/build.sh" >&2; exit 2; }
timeout -k 1 115 "$program" "$folder" &
group=$!
trap 'kill -s KILL -- "-$group" 2>/dev/null; exit 2' INT TERM HUP
wait "$group"
code=$?
kill -s KILL -- "-$group" 2>/dev/null
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
