#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/samphiremoor-gateway target/review/standins; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/standins second-report review/4/record.txt
