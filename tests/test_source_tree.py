"""Checks of the whole source tree: the files listed in the deployment file, and the error types."""

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


def test_deployment_file_lists_all_files_of_the_module():
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert listed and sorted(listed) == sorted(
        str(path.relative_to(ROOT)) for path in (ROOT / "herongap/rules").glob("*.py")
    )


def builtin_errors_raised(tree):
    """Line and name of each raised built-in exception other than OSError and AssertionError."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Raise) and node.exc is not None:
            called = node.exc.func if isinstance(node.exc, ast.Call) else node.exc
            kind = getattr(builtins, called.id, None) if isinstance(called, ast.Name) else None
            if isinstance(kind, type) and not issubclass(kind, OSError | AssertionError):
                yield node.lineno, called.id


def test_no_built_in_exception_is_raised():
    files = list((ROOT / "herongap").rglob("*.py"))
    found = {
        str(path.relative_to(ROOT)): list(builtin_errors_raised(ast.parse(path.read_text())))
        for path in files
    }
    assert len(found) > 100 and not {name: lines for name, lines in found.items() if lines}
    assert list(builtin_errors_raised(ast.parse("raise ValueError('x')"))) == [(1, "ValueError")], (
        "the check detects a built-in exception"
    )


def with_subclasses(error_type):
    return {error_type} | {
        below for subclass in error_type.__subclasses__() for below in with_subclasses(subclass)
    }


def test_every_error_type_has_specific_advice():
    for module in pkgutil.walk_packages(herongap.__path__, "herongap."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    error_types = {
        error_type
        for error_type in with_subclasses(HerongapError)
        if error_type.__module__.startswith("herongap.")
    }
    assert len(error_types) > 30
    general = {HerongapError.advice, UnusableInputError.advice}
    for error_type in error_types - {HerongapError, UnusableInputError, InternalMisuseError}:
        assert error_type.advice and error_type.advice not in general, error_type


def test_failed_command_shows_cause_and_advice_and_exits_with_the_status_of_the_error():
    from herongap.cli.errors import command_failure

    for error_type, status in ((UnusableInputError, 1), (InternalMisuseError, 70), (HerongapError, 69)):
        failure = command_failure(error_type("no such thing", "look there"), "cannot start: ")
        assert failure.exit_code == status and failure.message == "cannot start: no such thing\nlook there"
    with pytest.raises(ValueError, match="seen"):
        raise UnusableInputError("seen")
