"""Restrictions on imports between packages, and on the use of the platform's paths."""

import ast
import re

import pytest

_ALLOWED_IMPORTS = {
    "core": {"core"},
    "policy": {"core", "policy", "workload"},
    "workload": {"core", "workload"},
    "platform": {"core", "platform", "workload", "standins"},
    "ownership": {"core", "kernel", "ownership", "workload"},
    "observation": {"core", "kernel", "observation", "platform"},
}
_PLATFORM_PATH = re.compile(r"/-/(rows-|run-|hold|pace|machine|advise|blob-)")


def _sources(rootpath, package):
    paths = (rootpath / "fireflydeck" / package).rglob("*.py")
    return [path for path in paths if "tests" not in path.parts]


def _imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("fireflydeck."):
            yield node.module.split(".")[1]


@pytest.mark.parametrize("package", sorted(_ALLOWED_IMPORTS))
def test_packages_import_only_lower_layers(request, package):
    imported_packages = {
        imported
        for path in _sources(request.config.rootpath, package)
        for imported in _imported_packages(path)
    }
    assert imported_packages <= _ALLOWED_IMPORTS[package]


def test_only_the_platform_package_contains_platform_paths(request):
    root = request.config.rootpath / "fireflydeck"
    packages = {
        path.relative_to(root).parts[0]
        for path in root.rglob("*.py")
        if "tests" not in path.parts and _PLATFORM_PATH.search(path.read_text())
    }
    assert packages == {"platform"}
