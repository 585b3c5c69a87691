#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/build/violettide" ] && [ -x "$root/review/bin/case-3" ] || exit 2
exec "$root/review/bin/case-3" "$root" "$folder/record.txt"
