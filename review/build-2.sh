#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start: small
# Python programs without dependencies, so this only compiles and checks them.
# Run it after the build of the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or later is needed" >&2
    exit 1
}
[ -e target/deps/ready ] || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
python3 -m compileall -q review/lib-2
for case in review/[4-8]/case.py; do
    [ ! -e "$case" ] || python3 -m py_compile "$case"
done
