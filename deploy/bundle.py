"""Writes the bundle of compiled code that an instance imports from.

Usage: python3 -S deploy/bundle.py

Imports what an instance imports until its first response, and writes the code
of these modules to target/code.bundle (see codebundle.py).
"""

import importlib
import os
import re
import sys
import types
from typing import Any

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [f"{_ROOT}/src", f"{_ROOT}/target/deps"]

import codebundle  # noqa: E402

PROGRAM = "jasminerelay.platform.root"


def record_expressions() -> dict[tuple, tuple]:
    """Returns the arguments for `_sre.compile` by pattern and flags.

    Regular expressions that are compiled later are added.
    """
    expressions: dict[tuple, tuple] = {}
    compiler = sys.modules["re._compiler"]
    compile_expression, sre = compiler.compile, compiler._sre
    last: list[tuple] = []

    def compile_arguments(*arguments: Any) -> Any:
        last[:] = [arguments]
        return sre.compile(*arguments)

    def compile_and_record(pattern: Any, flags: int = 0) -> Any:
        compiled = compile_expression(pattern, flags)
        # The result depends on the locale with this flag.
        if not compiled.flags & re.LOCALE:
            found, total, code, *rest = last[0]
            # Plain integers; the compiler's are of a class of its own.
            code = [int(item) for item in code]
            expressions[pattern, int(flags)] = (found, int(total), code, *rest)
        return compiled

    compiler._sre = types.SimpleNamespace(
        **{**vars(sre), "compile": compile_arguments}
    )
    compiler.compile = compile_and_record
    return expressions


def record_snippets() -> dict[str, types.CodeType]:
    """Returns the compiled code of data classes' methods by its source.

    Methods of data classes that are created later are added.
    """
    snippets: dict[str, types.CodeType] = {}

    def execute(source: str, *namespaces: dict) -> None:
        snippets[source] = compile(source, "<string>", "exec")
        exec(snippets[source], *namespaces)

    importlib.import_module("dataclasses").exec = execute
    return snippets


def entry_of(module: types.ModuleType) -> tuple | None:
    """Returns a module's entry in the bundle; None if it has no file."""
    spec = getattr(module, "__spec__", None)
    if spec is None or not spec.has_location or spec.origin is None:
        return None
    file = os.path.abspath(spec.origin)
    with open(file, "rb") as opened:
        data = opened.read()
        status = os.fstat(opened.fileno())
    if file.startswith(f"{_ROOT}/"):
        path = os.path.relpath(file, _ROOT)
    else:
        path = file
    checksum = code = None
    if file.endswith(".py"):
        checksum = codebundle.digest(data)
        code = compile(data, file, "exec", dont_inherit=True)
    return (
        path,
        status.st_mtime_ns,
        status.st_size,
        checksum,
        spec.submodule_search_locations is not None,
        code,
    )


def main() -> None:
    """Writes the bundle."""
    expressions = record_expressions()
    snippets = record_snippets()
    start = importlib.import_module("jasminerelay.platform.start")
    start.defer_modules()
    for name in (PROGRAM, *start.LATER_MODULES):
        importlib.import_module(name)
    modules = {}
    for name, module in sorted(sys.modules.items()):
        entry = entry_of(module)
        # An instance imports these two before it has the bundle.
        if name not in ("__main__", "codebundle") and entry is not None:
            modules[name] = entry
    data = codebundle.pack(modules, snippets, expressions)
    path = f"{_ROOT}/{codebundle.PATH}"
    os.makedirs(os.path.dirname(path), exist_ok=True)
    # Renamed, so that an instance never reads half of it.
    with open(f"{path}.new", "wb") as file:
        file.write(data)
    os.replace(f"{path}.new", path)


if __name__ == "__main__":
    main()
