#!/bin/sh
# Builds the stand-ins that the scripts start: all are Python, so that it is
# enough to compile them and to import them beside the build in target/.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q standins soak measure review || exit 1
PYTHONPATH="target/deps:." python3 -c "import review.common.run"
PYTHONPATH="target/deps:." exec python3 -c "import review.common.deployment"
