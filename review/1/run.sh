#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" SlowWriters "$(dirname "${BASH_SOURCE[0]}")"
