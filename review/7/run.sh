#!/usr/bin/env bash
# Plays the case and writes what was sent, answered and run to record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the rule must then hold.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec ../play-2.sh stale-refusal review/7/record.txt
