#!/usr/bin/env python3
"""Runs a test's command and keeps the logs of its processes if it fails.

    keep-logs.py FOLDER COMMAND [ARGUMENT...]

The logs stay in FOLDER; the last lines of each are printed. Exits with the command's exit code.
"""

import os
import pathlib
import shutil
import subprocess
import sys

from fleet import LOG_FOLDER_VARIABLE

MAX_LINES = 15  # of each log
MAX_LINE_CHARACTERS = 500
MAX_LOGS = 20  # that are printed


def print_ends(folder):
    """Prints the end of each log, the one that was written last at the end."""
    logs = sorted(folder.rglob("*.log"), key=lambda path: path.stat().st_mtime)
    for path in logs[-MAX_LOGS:]:
        lines = path.read_text(errors="replace").splitlines()[-MAX_LINES:]
        print(f"--- {path}", *(line[:MAX_LINE_CHARACTERS] for line in lines), sep="\n")


def main():
    folder = pathlib.Path(sys.argv[1])
    shutil.rmtree(folder, ignore_errors=True)
    environment = {**os.environ, LOG_FOLDER_VARIABLE: str(folder)}
    code = subprocess.run(sys.argv[2:], env=environment, check=False).returncode
    sys.stderr.flush()
    if code == 0:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print_ends(folder)
    return code if code >= 0 else 128 - code


sys.exit(main())
