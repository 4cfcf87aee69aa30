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

from jasminerelay import lazymodules  # noqa: E402

FILENAME = codebundle.FILENAME

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


def record_snippets() -> dict[bytes, types.CodeType]:
    """Returns the code that modules compile when they are imported, by key.

    What modules that are imported later compile is added.
    """
    snippets: dict[bytes, types.CodeType] = {}

    def compile_and_record(source: str, filename: str, mode: str) -> Any:
        code = compile(source, filename, mode)
        if filename == FILENAME:
            snippets[codebundle.snippet_key(source, mode)] = code
        return code

    def execute(source: str, *namespaces: dict) -> None:
        exec(compile_and_record(source, FILENAME, "exec"), *namespaces)

    def evaluate(source: str, *namespaces: dict) -> Any:
        return eval(compile_and_record(source, FILENAME, "eval"), *namespaces)

    functions = {
        "compile": compile_and_record,
        "exec": execute,
        "eval": evaluate,
    }
    for name, function in codebundle.COMPILING_FUNCTIONS.items():
        module = importlib.import_module(name)
        setattr(module, function, functions[function])
    return snippets


def file_of(module: types.ModuleType) -> str | None:
    """Returns the file that a module was loaded from."""
    spec = getattr(module, "__spec__", None)
    if spec is None or not spec.has_location or spec.origin is None:
        return None
    return os.path.abspath(spec.origin)


def entry_of(module: types.ModuleType, group: int) -> tuple:
    """Returns a module's entry in the bundle."""
    file = file_of(module)
    status = os.stat(file)
    return (
        os.path.relpath(file, _ROOT) if file.startswith(f"{_ROOT}/") else file,
        status.st_mtime_ns,
        status.st_size,
        codebundle.digest(read(file)) if file.endswith(".py") else None,
        hasattr(module, "__path__"),
        group,
    )


def code_of(module: types.ModuleType) -> types.CodeType | None:
    """Returns a module's code; None if it is not used in a start."""
    file = file_of(module)
    if not file.endswith(".py") or lazymodules.is_deferred(module):
        return None
    return compile(read(file), file, "exec", dont_inherit=True)


def read(file: str) -> bytes:
    """Returns the content of a file."""
    with open(file, "rb") as opened:
        return opened.read()


def main() -> None:
    """Writes the bundle."""
    expressions = record_expressions()
    snippets = record_snippets()
    start = importlib.import_module("jasminerelay.platform.start")
    # The ports are opened once these are imported.
    early = {*sys.modules}
    start.defer_modules()
    for name in (PROGRAM, *start.LATER_MODULES):
        importlib.import_module(name)
    found = {
        name: module
        for name, module in sorted(sys.modules.items())
        # An instance imports these two before it has the bundle.
        if file_of(module) and name not in ("__main__", "codebundle")
    }
    modules = {
        name: entry_of(module, int(name not in early))
        for name, module in found.items()
    }
    codes: tuple[dict, dict] = {}, {}
    for name, module in found.items():
        code = code_of(module)
        if code is not None:
            codes[int(name not in early)][name] = code
    data = codebundle.pack(
        modules, expressions, [(codes[0], {}), (codes[1], snippets)]
    )
    path = f"{_ROOT}/{codebundle.PATH}"
    os.makedirs(os.path.dirname(path), exist_ok=True)
    # Renamed, so that an instance never reads half of it.
    with open(f"{path}.new", "wb") as file:
        file.write(data)
    os.replace(f"{path}.new", path)


if __name__ == "__main__":
    main()
