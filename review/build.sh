#!/usr/bin/env bash
# Builds what the scripts start: the node, as the deploy file says, and the project's own stand-in of the platform.
# The scripts' own stand-ins are in Python (3.11, standard library only) and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package bluebellpick-node --package bluebellpick-standin
