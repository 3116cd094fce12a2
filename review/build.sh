#!/usr/bin/env bash
# Build the stand-ins of the cases: they are Python, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review tests/platform_adapter/standin_store.py
PYTHONPATH=target/deps:.:platform python3 -c "import review.common"
