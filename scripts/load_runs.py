"""Runs tamarack-load and reads CPU time and memory of processes, for the benchmark scripts."""

import json
import os
import pathlib
import subprocess

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
EXIT_WHOLE, EXIT_NOT_WHOLE = 0, 1


def cpu_seconds(pid):
    """Returns the user and system time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def thread_cpu_seconds(pid):
    """Returns the user and system time of each thread, in seconds by thread id."""
    seconds = {}
    for folder in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            continue  # the thread has ended
        seconds[int(folder.name)] = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return seconds


def resident_bytes(pid):
    """Returns the resident memory of a process, in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError(f"process {pid} has no VmRSS")


def load_average():
    """Returns the machine's one-minute load average, which shows how much other work ran."""
    return os.getloadavg()[0]


def profile_text(sections):
    """Returns (section, {key: value}) pairs as INI text."""
    lines = []
    for name, values in sections:
        lines.append(f"[{name}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
    return "\n".join(lines) + "\n"


class LoadRun:
    """One run of tamarack-load in the background."""

    def __init__(self, bin_dir, work_dir, name, sections, keys=None, flags=()):
        self.folder = pathlib.Path(work_dir)
        self.report = self.folder / f"{name}.json"
        profile = self.folder / f"{name}.ini"
        profile.write_text(profile_text(sections))
        command = [str(pathlib.Path(bin_dir) / "tamarack-load"), f"--profile={profile}",
                   f"--json={self.report}", *flags]
        if keys:
            key_file = self.folder / f"{name}.keys"
            key_file.write_text("".join(f"{who} {key}\n" for who, key in keys.items()))
            command.append(f"--keys={key_file}")
        self.log = open(self.folder / f"{name}.load.log", "wb")
        self.child = subprocess.Popen(command, stdout=self.log, stderr=subprocess.STDOUT,
                                      stdin=subprocess.DEVNULL)

    def result(self, timeout):
        """Waits for the end of the run; returns the report with the exit status as `exit`.

        Raises TimeoutExpired, or RuntimeError with the log if the tool itself failed.
        """
        try:
            status = self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            raise
        finally:
            self.log.close()
        if status not in (EXIT_WHOLE, EXIT_NOT_WHOLE):
            raise RuntimeError(f"tamarack-load ended with exit status {status}:\n"
                               + pathlib.Path(self.log.name).read_text())
        report = json.loads(self.report.read_text())
        report["exit"] = status
        return report
