#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/cleatpick ] || ! [ -x target/stand2 ]; then
  echo "run the build command of deploy/service.toml and review/build-2.sh first"
  exit 2
fi
exec target/stand2 frame review/6
