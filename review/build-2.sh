#!/bin/sh
# Builds what the scripts from review/6 on start besides the controller: the stand-ins in review/small_site.py and the
# cases run from source with .venv, which the line `build` of deploy/balancer.toml makes. Checked here, nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import dns.message, gevent'
for file in review/small_site.py review/*/case.py; do
  .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
