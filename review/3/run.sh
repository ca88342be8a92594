#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")" || exit 2
python3 -B case.py &
child=$!
trap 'kill -TERM "$child" 2> /dev/null; wait "$child"; exit 2' TERM INT
wait "$child"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
