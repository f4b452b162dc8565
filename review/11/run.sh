#!/usr/bin/env bash
# The leading daemon is killed once, at the rate of submissions and of the links that the deployment has.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec timeout --kill-after=5 110 target/review-3/standin load target/release/pomelotided "$folder"
