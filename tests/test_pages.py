"""Tests that the commands shown in the pages work as shown."""

import pathlib
import re
import shlex
import subprocess
import sys

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import cmdarguments

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATORS = (ROOT / "docs" / "OPERATORS.md").read_text()
SHOWN = re.findall(
    r"^\$ (chervilshore .*)\n((?:.*\n)*?)\(exit (\d+)\)$",
    OPERATORS,
    re.MULTILINE,
)
COMMANDS = sorted(
    set(re.findall(r"^\$ (chervilshore .*)$", OPERATORS, re.MULTILINE))
)
TOOLS = pathlib.Path(sys.executable).parent


def find_shown_output(command):
    """Return the output and the exit code that the page shows."""
    return next(
        (text, int(code)) for words, text, code in SHOWN if words == command
    )


def run(command, folder):
    words = shlex.split(command)
    words[0] = str(TOOLS / words[0])
    completed = subprocess.run(
        words, cwd=folder, capture_output=True, text=True
    )
    return completed.stdout, completed.returncode


@pytest.mark.parametrize("command", COMMANDS)
def test_shown_command_is_parsed(command):
    parsed = cmdarguments.make_parser().parse_args(shlex.split(command)[1:])
    assertions.assert_that(
        parsed.command, matchers.Equals(shlex.split(command)[1])
    )


def test_check_prints_what_the_page_shows():
    command = "chervilshore check kelvinside.rules"
    assertions.assert_that(
        run(command, ROOT / "examples"),
        matchers.Equals(find_shown_output(command)),
    )


def test_format_prints_what_the_page_shows(tmp_path):
    (tmp_path / "untidy.rules").write_text(
        "team   b rate=1   # Morag, why b\n# above a\n"
        "team a rate=2 # Morag, why a\n"
    )
    command = "chervilshore format untidy.rules"
    assertions.assert_that(
        run(command, tmp_path), matchers.Equals(find_shown_output(command))
    )


@pytest.mark.parametrize("name", ["chervilshore", "chervilshored"])
def test_installed_programs_print_their_usage(name):
    completed = subprocess.run(
        [TOOLS / name, "--help"], capture_output=True, text=True
    )
    assertions.assert_that(completed.returncode, matchers.Equals(0))
    assertions.assert_that(completed.stdout, matchers.Contains("usage: "))


def test_readme_names_the_installed_programs():
    text = (ROOT / "README.md").read_text()
    for name in ("chervilshore", "chervilshored"):
        assertions.assert_that(text, matchers.Contains(f".venv/bin/{name}`"))
