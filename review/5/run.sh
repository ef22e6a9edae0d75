#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: with bodies of 1 MiB instead of 52 MiB.
cd "$(dirname "$0")"
exec node run.mjs
