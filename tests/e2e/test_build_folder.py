"""Tests that the deploy file builds the program of the sources, whatever folder it finds."""

import os
import pathlib
import platform
import shutil
import subprocess
import tempfile
import tomllib
import unittest

from support import ROOT, main

BUILD = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
PROGRAM = "target/bin/tamarack-gateway"
PROJECT = """
cmake_minimum_required(VERSION 3.25)
project(small LANGUAGES CXX)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
add_executable(tamarack-gateway apps/tamarack-gateway.cpp src/answer.cpp)
"""
MAIN = """
#include <cstdio>
const char *answer();
int main()
{
    std::puts(answer());
}
"""


class BuildFolderTest(unittest.TestCase):
    """Guards against a carried-over folder whose program of other sources goes on being used."""

    def setUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.tree = folder / "tree"
        shutil.copytree(ROOT / "cmake", self.tree / "cmake")
        for name, text in (("CMakeLists.txt", PROJECT), ("apps/tamarack-gateway.cpp", MAIN)):
            (self.tree / name).parent.mkdir(exist_ok=True)
            (self.tree / name).write_text(text)
        (self.tree / "src").mkdir()
        self.write_answer("first")
        self.assertEqual(self.build(), "first")

    def write_answer(self, text, age_s=0):
        path = self.tree / "src" / "answer.cpp"
        path.write_text(f'const char *answer() {{ return "{text}"; }}\n')
        changed_at = path.stat().st_mtime - age_s
        os.utime(path, (changed_at, changed_at))

    def build(self):
        """Builds as the deploy file says; returns what the program prints."""
        done = subprocess.run(BUILD, shell=True, cwd=self.tree, capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        return subprocess.run([self.tree / PROGRAM], capture_output=True, text=True,
                              check=True).stdout.strip()

    def built_at(self):
        return (self.tree / PROGRAM).stat().st_mtime_ns

    def replace_in_record(self, old, new):
        record = self.tree / "target" / "built-from.txt"
        text = record.read_text()
        self.assertIn(old, text)
        record.write_text(text.replace(old, new))

    def test_the_same_sources_are_not_built_again(self):
        built_at = self.built_at()
        self.assertEqual(self.build(), "first")
        self.assertEqual(self.built_at(), built_at)

    def test_a_change_is_built(self):
        self.write_answer("second")
        self.assertEqual(self.build(), "second")

    def test_a_change_with_an_old_time_is_built(self):
        for age_s in (3600, 20 * 365 * 24 * 3600):
            self.write_answer(f"of {age_s}", age_s)
            self.assertEqual(self.build(), f"of {age_s}")

    def test_a_folder_of_unknown_sources_is_not_used(self):
        (self.tree / "target" / "built-from.txt").unlink(missing_ok=True)
        self.write_answer("second", 3600)
        self.assertEqual(self.build(), "second")

    def test_a_folder_of_another_kind_of_machine_is_not_used(self):
        built_at = self.built_at()
        self.replace_in_record(f"machine {platform.machine()}\n", "machine another\n")
        self.assertEqual(self.build(), "first")
        self.assertNotEqual(self.built_at(), built_at)

    def test_a_folder_that_was_moved_with_its_tree_is_not_used(self):
        self.tree = self.tree.rename(self.tree.parent / "moved")
        self.write_answer("second", 3600)
        self.assertEqual(self.build(), "second")


if __name__ == "__main__":
    main()
