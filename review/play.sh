#!/usr/bin/env bash
# Plays a case: play.sh NAME RECORD. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
end() {
    # What a stand-in that was stopped has left behind.
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done 2>/dev/null <"$folder/pids"
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 115 target/review/release/review-standin "$1" review/standin/data "$2" "$folder" "${TROUBLE:-1}"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
