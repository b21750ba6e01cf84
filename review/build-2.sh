#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the deploy file's build: the stand-ins are plain
# Python; the project's gateways and hosted controllers need the libraries of requirements-hosted.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
[ target/hosted-2/blake3 -nt requirements-hosted.txt ] ||
    python3 -m pip install -q --disable-pip-version-check -U --target target/hosted-2 -r requirements-hosted.txt
PYTHONPATH=target/deps python3 -c 'import sys; sys.path.insert(0, "review"); import stage2, hosted2'
