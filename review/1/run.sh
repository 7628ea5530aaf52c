#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" LongChunk "$(dirname "${BASH_SOURCE[0]}")"
