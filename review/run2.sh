#!/usr/bin/env bash
# Runs the case of the folder given: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$1" || exit 2
timeout -k 2 118 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
