#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs g++ alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]/case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -I standins "$source" -o "bin/case-$number"
done
