#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 case.py &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
# A signal ends the first wait; the second one lets the script end its processes.
[ "$code" -gt 128 ] && { wait "$child"; code=$?; }
case "$code" in
    10) exit 1 ;;
    11) exit 0 ;;
    *) exit 2 ;;
esac
