"""Which package may import which, and who may know the platform's calls."""

import ast
import re

import pytest

_ALLOWED = {
    "core": {"core"},
    "policy": {"core", "policy", "workload"},
    "workload": {"core", "workload"},
    "platform": {"core", "platform", "workload", "standins"},
    "ownership": {"core", "kernel", "ownership", "workload"},
    "observation": {"core", "kernel", "observation", "platform"},
}
_CALL = re.compile(r"/-/(rows-|run-|hold|pace|machine|advise|blob-)")


def _sources(rootpath, package):
    paths = (rootpath / "fireflydeck" / package).rglob("*.py")
    return [path for path in paths if "tests" not in path.parts]


def _imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("fireflydeck."):
            yield node.module.split(".")[1]


@pytest.mark.parametrize("package", sorted(_ALLOWED))
def test_packages_import_only_what_lies_below(request, package):
    found = {
        imported
        for path in _sources(request.config.rootpath, package)
        for imported in _imported_packages(path)
    }
    assert found <= _ALLOWED[package]


def test_only_the_adapter_knows_the_platforms_calls(request):
    root = request.config.rootpath / "fireflydeck"
    knowing = {
        path.relative_to(root).parts[0]
        for path in root.rglob("*.py")
        if "tests" not in path.parts and _CALL.search(path.read_text())
    }
    assert knowing == {"platform"}
