#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/release/dark
[ -x target/release/thistlesill-edge ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" "$here" "$folder" &
id=$!
# After 115 s, ends the program and the daemons that it started.
(
  sleep 115
  for child in $(cat /proc/$id/task/*/children 2>/dev/null); do kill -KILL "$child"; done
  kill -KILL $id
) >/dev/null 2>&1 &
guard=$!
wait $id
code=$?
for child in $(cat /proc/$guard/task/*/children 2>/dev/null); do kill "$child"; done
kill $guard 2>/dev/null
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
