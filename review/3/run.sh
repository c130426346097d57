#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
