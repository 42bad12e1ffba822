"""Checks over the whole source tree: the files named in the deploy file, and the types of errors."""

import ast
import builtins
import importlib
import pkgutil
import tomllib
from pathlib import Path

import pytest

import herongap
from herongap.errors import HerongapError, InternalMisuseError, UnusableInputError

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_is_named_whole_in_the_deploy_file():
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert told and sorted(told) == sorted(
        str(p.relative_to(ROOT)) for p in (ROOT / "herongap/rules").glob("*.py")
    )


def bare(tree):
    """Raised types that are Python's own, but for those of the system's calls."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Raise) and node.exc is not None:
            called = node.exc.func if isinstance(node.exc, ast.Call) else node.exc
            kind = getattr(builtins, called.id, None) if isinstance(called, ast.Name) else None
            if isinstance(kind, type) and not issubclass(kind, OSError | AssertionError):
                yield node.lineno, called.id


def test_every_error_has_a_type_of_its_own():
    files = list((ROOT / "herongap").rglob("*.py"))
    found = {str(p.relative_to(ROOT)): list(bare(ast.parse(p.read_text()))) for p in files}
    assert len(found) > 100 and not {name: lines for name, lines in found.items() if lines}
    assert list(bare(ast.parse("raise ValueError('x')"))) == [(1, "ValueError")], "and the walk finds one"


def every(kind):
    return {kind} | {below for sub in kind.__subclasses__() for below in every(sub)}


def test_every_error_says_what_can_be_done():
    for module in pkgutil.walk_packages(herongap.__path__, "herongap."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    kinds = {kind for kind in every(HerongapError) if kind.__module__.startswith("herongap.")}
    assert len(kinds) > 30
    general = {HerongapError.advice, UnusableInputError.advice}
    for kind in kinds - {HerongapError, UnusableInputError, InternalMisuseError}:
        assert kind.advice and kind.advice not in general, kind


def test_a_command_ends_with_cause_advice_and_a_status_by_kind():
    from herongap.cli.errors import command_failure

    for kind, status in ((UnusableInputError, 1), (InternalMisuseError, 70), (HerongapError, 69)):
        shown = command_failure(kind("no such thing", "look there"), "cannot start: ")
        assert shown.exit_code == status and shown.message == "cannot start: no such thing\nlook there"
    with pytest.raises(ValueError, match="seen"):
        raise UnusableInputError("seen")
