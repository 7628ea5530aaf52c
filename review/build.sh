#!/usr/bin/env bash
# Builds the stand-ins that the cases start; needs a JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target rig/*.java
