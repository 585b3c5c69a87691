#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
# Writes record.txt: what was sent, answered and run, with the seconds since the start.
cd "$(dirname "$0")" && exec timeout -k 5 118 python3 -B case.py
