#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that need only the standard library, so that
# compiling them is all there is to do. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review
