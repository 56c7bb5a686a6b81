#!/bin/sh
# Plays the case once and writes review/9/record.txt; see claim.txt. With
# TROUBLE=0 nothing is disrupted.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "build the deploy file first" >&2; exit 2; }
PYTHONPATH="target/deps:." exec python3 -m review.harness.play \
    review/9 review/9/record.txt
