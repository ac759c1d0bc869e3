#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/bulrush-gateway ] || exit 2
exec target/review-2/standin start-time "$dir"
