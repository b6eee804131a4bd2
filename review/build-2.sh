#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library, so this checks that it compiles.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -f "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
