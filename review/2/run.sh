#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:."
python3 -c "import importlib; importlib.import_module('review.2.case')" || exit 2
exec python3 -m review.2.case
