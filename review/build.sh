#!/bin/sh
# Compiles the stand-ins and the cases. Run it after the deploy file's build; it needs no network.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
