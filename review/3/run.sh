#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" SlowUpload "$(dirname "${BASH_SOURCE[0]}")"
