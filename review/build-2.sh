#!/bin/sh
# Builds the stand-ins and the cases 6 to 10. The proxy itself is built by `build` in deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
rm -rf review/rig2/target
mkdir -p review/rig2/target
exec javac -Xlint:all -d review/rig2/target review/rig2/*.java
