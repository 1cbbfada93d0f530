#!/bin/sh
# Plays the case and checks its rule: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and of review/build-2.sh.
# The case, its stand-ins and the proxies are one process group, which is ended with the script and after 115 s.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN_COMMAND
[ -n "$RUN_COMMAND" ] && [ -x "target/review-2/case-$number" ] || { echo "not built"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 1 115 "target/review-2/case-$number" "$folder/record.txt" &
group=$!
clean_up() {
  kill -s KILL -- "-$group" 2> /dev/null
  rm -rf "$TMPDIR"
}
trap 'clean_up; exit 2' INT TERM HUP
wait "$group"
code=$?
clean_up
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
