#!/bin/sh
# Two managers started alike draw alike only if they are told to: their seeds are in their logs. They are given an
# address that is no machine's own, so that each ends by itself.
set -eu
program=$1 settings=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
sed 's/^listen(.*/listen(address = "203.0.113.1", port = 8080)/' "$settings" >"$folder/front.star"
grep -q '203.0.113.1' "$folder/front.star" || echo 'listen(address = "203.0.113.1", port = 8080)' >>"$folder/front.star"
for name in one other; do
  "$program" serve --settings "$folder/front.star" --log "$folder/$name.log" && exit 1
done
"$program" serve --settings "$folder/front.star" --seed 7 --log "$folder/told.log" && exit 1
seed() { sed -n 's/.*"event":"seeded","seed":"\([0-9]*\)".*/\1/p' "$folder/$1.log"; }
echo "one $(seed one), other $(seed other), told $(seed told)"
[ -n "$(seed one)" ] && [ "$(seed one)" != "$(seed other)" ] && [ "$(seed told)" = 7 ]
