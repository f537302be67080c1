#!/usr/bin/env python3
"""Runs clang-tidy on the project's translation units, except those that passed with equal inputs.

The inputs of a unit are its source, the project headers that its build read, and .clang-tidy.
"""

import argparse
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

# clang can't read gcc's precompiled headers, so they are removed from the commands.
PRECOMPILED = re.compile(r"-Winvalid-pch|-fpch-preprocess|-include [^ ]*cmake_pch\.hxx")


def project_headers(build, root):
    """Maps each object file to the project headers that its build read, according to ninja."""
    listing = subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True,
                             text=True, check=True).stdout
    headers, current = {}, None
    for line in listing.split("\n"):
        if line and not line.startswith(" "):
            current = line.split(":")[0]
            headers[current] = []
        elif line.strip():
            path = (build / line.strip()).resolve()
            if path.is_relative_to(root) and not path.is_relative_to(build) and path.exists():
                headers[current].append(path)
    return headers


def input_digest(source, headers, root):
    """Returns a digest of all inputs that the result of clang-tidy depends on."""
    digest = hashlib.sha256()
    for path in [root / ".clang-tidy", source, *sorted(set(headers))]:
        digest.update(str(path.relative_to(root)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


def run_tidy(build, source):
    done = subprocess.run(["clang-tidy", "--quiet", "-p", str(build / "tidy"),
                           "--extra-arg=-Wno-everything", str(source)],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stdout


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    arguments = parser.parse_args()
    root = pathlib.Path.cwd().resolve()
    build = (root / arguments.build).resolve()
    cache = pathlib.Path(os.environ.get("TIDY_CACHE", pathlib.Path.home() / ".cache/tamarack-tidy"))
    cache.mkdir(parents=True, exist_ok=True)

    commands = json.loads((build / "compile_commands.json").read_text())
    for command in commands:
        command["command"] = PRECOMPILED.sub("", command["command"])
    (build / "tidy").mkdir(exist_ok=True)
    (build / "tidy" / "compile_commands.json").write_text(json.dumps(commands))

    headers = project_headers(build, root)
    pending = {}
    for command in commands:
        source = pathlib.Path(command["file"]).resolve()
        if source.is_relative_to(build) or not source.is_relative_to(root):
            continue
        read = headers.get(command.get("output") or re.search(
            r" -o (\S+)", command["command"]).group(1), [])
        marker = cache / input_digest(source, read, root)
        if not marker.exists():
            pending[source] = marker

    failures = 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = {pool.submit(run_tidy, build, source): source for source in pending}
        for future in concurrent.futures.as_completed(results):
            code, output = future.result()
            if code == 0:
                pending[results[future]].touch()
            else:
                failures += 1
                print(output)
    print(f"clang-tidy: {len(pending)} units checked, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
