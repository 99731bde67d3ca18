#!/bin/sh
# The stand-ins of review/standins-2 are plain Python 3.11 of the standard library: there is
# nothing to build. This builds the product as on the users' platform (deploy/system.toml).
cd "$(dirname "$0")/.." || exit 1
exec sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
