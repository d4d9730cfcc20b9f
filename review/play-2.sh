#!/usr/bin/env bash
# Plays one case: play-2.sh NAME RECORD. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run.
cd "$(dirname "$0")/.." || exit 2
program=target/review/release/stand-in-2
[ -x "$program" ] && [ -x target/release/wisteriahead-platform ] || { echo 'build first' >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
finish() {
    # Processes that the program could not end itself; none if it ended in order.
    while read -r pid; do
        if [ "$(readlink "/proc/$pid/exe")" = "$PWD/target/release/wisteriahead-platform" ]; then
            kill -KILL "$pid"
        fi
    done < <(cat "$TMPDIR/pids" 2>/dev/null)
    rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -s KILL 118 "$program" "$1" "$2"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
