"""Starts gateway processes with their settings files, for the end-to-end tests and the soak."""

import functools
import hashlib
import json
import pathlib
import subprocess
import sys

from fleet import Process, free_port, http_call, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_LOG_CHARACTERS = 5000  # of an error
VERSION_TIMEOUT_S = 10
# As in cmake/source_files.cmake.
PRODUCT_FOLDERS = ("apps", "cmake", "generated", "include", "platform", "schema", "src")
SOURCE_ENDINGS = (".cpp", ".hpp", ".h", ".fbs", ".txt", ".cmake")


def source_digest():
    """Returns what a program that is built from the files of this tree gives as its version."""
    paths = ["CMakeLists.txt"]
    for folder in PRODUCT_FOLDERS:
        paths += [path.relative_to(ROOT).as_posix() for path in (ROOT / folder).rglob("*")
                  if path.suffix in SOURCE_ENDINGS]
    lines = [f"{hashlib.sha256((ROOT / path).read_bytes()).hexdigest()}  {path}\n"
             for path in sorted(paths)]
    return hashlib.sha256("".join(lines).encode()).hexdigest()[:16]


@functools.lru_cache(maxsize=None)
def warn_of_other_sources(program):
    """Warns, once a script, if a program wasn't built from the files of this tree.

    It goes on without a comparison where the program or the files can't be read.
    """
    try:
        done = subprocess.run([program, "--version"], capture_output=True, text=True, check=False,
                              timeout=VERSION_TIMEOUT_S)
        built_from, expected = done.stdout.strip().split(" ")[-1], source_digest()
    except (OSError, ValueError, subprocess.SubprocessError) as error:
        print(f"{program} can't be compared with the sources: {error!r}", file=sys.stderr)
        return
    if built_from != expected:
        print(f"{program} was built from other sources: {built_from!r}, here {expected!r}",
              file=sys.stderr)


def parsed_line(text):
    try:
        line = json.loads(text)
    except ValueError:
        line = None
    return line if isinstance(line, dict) else {"message": text}


class Gateway:
    """A process of tamarack-gateway, or of the program that `command` names instead."""

    def __init__(self, name, store_address, work_dir, command, **settings):
        self.name = name
        self.address = f"127.0.0.1:{free_port()}"
        self.ready_address = f"127.0.0.1:{free_port()}"
        self.admin_address = f"127.0.0.1:{free_port()}"
        values = {"vm": name, "zone": "a", "store": store_address, "listen": self.address,
                  "readiness-listen": self.ready_address, "admin-listen": self.admin_address,
                  "peer-listen": f"127.0.0.1:{free_port()}"}
        values.update(settings)
        self.path = work_dir / f"{name}.ini"
        self.write(values)
        warn_of_other_sources(command[0])
        self.process = Process(name, [command[0], f"--settings={self.path}", *command[1:]],
                               work_dir)

    def write(self, values):
        """Replaces the settings file at once, as a gateway may be reading it."""
        self.values = values
        lines = ["[tamarack-gateway]"] + [f"{name}={value}" for name, value in values.items()]
        written = self.path.with_suffix(".new")
        written.write_text("\n".join(lines) + "\n")
        written.replace(self.path)

    def ready(self):
        """Returns whether the readiness check succeeds; raises if there is no answer."""
        return http_call(self.ready_address, "GET", "/tamarackglade/readiness")[0] == 200

    def wait_until_ready(self):
        """Raises TimeoutError, with the end of the log, if the gateway isn't ready in time."""
        try:
            wait_until(self.ready, f"{self.name} ready")
        except TimeoutError as error:
            raise TimeoutError(f"{error}; exit code {self.process.child.poll()}; log:\n"
                               + self.process.log()[-MAX_LOG_CHARACTERS:]) from error

    def lines(self):
        """Returns the parsed log lines without a last line that is still incomplete.

        A line that the gateway didn't write, as the machine's loader may, has only a message.
        """
        return [parsed_line(text) for text in self.process.log().split("\n")[:-1]]

    def lines_of(self, message):
        return [line for line in self.lines() if line.get("message") == message]

    def metric(self, name):
        """Returns the value of a metric without labels; None before it is set."""
        page = http_call(self.admin_address, "GET", "/metrics")[2].decode()
        values = [line.split()[1] for line in page.splitlines() if line.split()[:1] == [name]]
        return float(values[0]) if values else None
