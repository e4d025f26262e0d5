#!/bin/sh
# The stand-ins are Python modules of the standard library; nothing has to be compiled. This checks that they load.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib"); import fleet' || exit 1
echo "stand-ins load"
