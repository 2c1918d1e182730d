"""Build of the executable: a zipapp with the package and its run-time dependencies.

The dependencies are those in `pyproject.toml` and their transitive requirements. They are copied
from the installed distributions, so their versions are the locked ones and nothing is downloaded.
"""

import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from importlib.metadata import Distribution, distribution
from pathlib import Path, PurePosixPath

__all__ = ["build_executable", "start_time_ms"]

_ROOT = Path(__file__).parents[2]
_DISTRIBUTION_NAME = re.compile(r"[A-Za-z0-9._-]+")
_MARKER_EXTRA = "extra =="
_DEFAULT_ROOT = "/tmp/fireflydeck"
"""Directory into which the executable unpacks itself unless SHIV_ROOT is set."""

_MS_PER_S = 1000


def build_executable(output: Path) -> Path:
    """Build the executable and return its path.

    Parameters
    ----------
    output
        Path of the executable; its directory is created if it doesn't exist.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="fireflydeck-build-") as directory:
        packages = Path(directory) / "packages"
        packages.mkdir()
        for name in sorted(_run_time_dependencies()):
            _copy_distribution(distribution(name), packages)
        _copy_package(packages)
        _run_shiv(packages, output, Path(directory))
    return output


def start_time_ms(executable: Path, root: Path) -> float:
    """Return the run time of ``--version``, with the files unpacked below `root`."""
    environ = {**os.environ, "SHIV_ROOT": str(root)}
    environ.pop("PYTHONPATH", None)
    began = time.monotonic()
    subprocess.run([str(executable), "--version"], env=environ, check=True, capture_output=True)
    return (time.monotonic() - began) * _MS_PER_S


def _run_time_dependencies() -> set[str]:
    project = tomllib.loads((_ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    found: set[str] = set()
    pending = [_name_of(requirement) for requirement in project["dependencies"]]
    while pending:
        name = pending.pop()
        if name not in found:
            found.add(name)
            pending += _requirements_of(distribution(name))
    return found


def _requirements_of(installed: Distribution) -> list[str]:
    names = []
    for requirement in installed.requires or ():
        specification, _, marker = requirement.partition(";")
        name = _name_of(specification)
        if _MARKER_EXTRA not in marker and _is_installed(name):
            names.append(name)
    return names


def _is_installed(name: str) -> bool:
    # Requirements whose marker excludes this platform aren't installed.
    return any(True for _ in Distribution.discover(name=name))


def _name_of(requirement: str) -> str:
    match = _DISTRIBUTION_NAME.match(requirement.strip())
    assert match is not None, requirement
    return match.group().lower()


def _copy_distribution(installed: Distribution, packages: Path) -> None:
    for file in installed.files or ():
        if _is_included(file):
            target = packages / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(str(installed.locate_file(file)), target)


def _is_included(file: PurePosixPath) -> bool:
    return ".." not in file.parts and file.suffix != ".pyc"


def _copy_package(packages: Path) -> None:
    ignored = shutil.ignore_patterns("tests", "testing", "measure", "__pycache__")
    shutil.copytree(_ROOT / "fireflydeck", packages / "fireflydeck", ignore=ignored)


def _run_shiv(packages: Path, output: Path, directory: Path) -> None:
    shiv = Path(sys.executable).with_name("shiv")
    command = [
        str(shiv),
        f"--site-packages={packages}",
        "--entry-point=fireflydeck.cli.main:main",
        "--python=/usr/bin/env python3.11",
        f"--root={_DEFAULT_ROOT}",
        "--reproducible",
        "--compressed",
        f"--output-file={output}",
    ]
    environ = {**os.environ, "TMPDIR": str(directory), "SHIV_ROOT": str(directory / "root")}
    subprocess.run(command, env=environ, check=True)


def main() -> None:
    """Build the executable at the path on the command line; print its size and start times."""
    output = build_executable(Path(sys.argv[1]))
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")
    with tempfile.TemporaryDirectory(prefix="fireflydeck-start-") as root:
        print(f"first start, with unpacking: {start_time_ms(output.absolute(), Path(root)):.0f} ms")
        print(f"second start: {start_time_ms(output.absolute(), Path(root)):.0f} ms")


if __name__ == "__main__":
    main()
