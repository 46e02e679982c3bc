#!/usr/bin/env bash
# play.sh SCENARIO FOLDER: plays a scenario of _stand-4 and leaves its record in FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clementinewind ] && [ -x target/stand-4 ] || { echo 'build first: the build line of deploy/system.toml, then review/build-3.sh' >&2; exit 2; }
ulimit -S -n 8192 2>/dev/null || { echo 'needs 8192 descriptors' >&2; exit 2; }
folder=$(mktemp -d) || exit 2
# The routers end with the stand-in that started them.
timeout -k 1 115 target/stand-4 "$1" "$folder"
status=$?
cp "$folder/record.txt" "$2/record.txt"
rm -rf "$folder"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
