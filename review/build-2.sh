#!/bin/sh
# Builds what the scripts of the second review start. Their stand-ins are
# Python and use the libraries that the build of the deploy file installs, so
# that it is enough to compile them and to check that they can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "
import compileall, pathlib, sys
from review.harness import deployment, http
from standins import settingsfile, store
folders = ['review/harness', *map(str, sorted(pathlib.Path('review').glob('[0-9]*')))]
sys.exit(not all(compileall.compile_dir(one, quiet=1) for one in folders))
"
