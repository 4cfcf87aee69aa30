"""Imports modules from one file with their compiled code.

An ordinary import searches several folders, reads the module's cached bytecode
and checks its source, in ten or more system calls. With a bundle it takes one:
the check that the source has not changed. The bundle also holds what importing
the modules compiles: methods of data classes, named tuples, annotations and
regular expressions.

`bundle.py` writes the file. Nothing depends on it: a module that is missing
from it or has changed since, and every module if the file is absent, damaged or
of another interpreter, is imported as usual.
"""

# Modules that the interpreter has loaded already. Others, such as importlib's
# public ones and typing, would be imported from their files.
import _frozen_importlib_external as external
import _imp
import marshal
import os
import sys

PATH = "target/code.bundle"
"""Where the build writes the bundle in the checkout."""

WORD_BYTES = 8
"""Size of a checksum and of the length of the index."""

COMPILING_FUNCTIONS = {
    "collections": "eval",
    "dataclasses": "exec",
    "typing": "compile",
}
"""Built-in functions by which modules compile named tuples, methods of data
classes and annotations."""

FILENAME = "<string>"
"""File name of the code that these functions compile."""

LOGGED_NAMES = 10
"""Number of modules named in the log, in case every source has changed."""

INTERPRETER = (sys.version, sys.byteorder, sys.maxsize, sys.flags.optimize)
"""What compiled code and compiled regular expressions depend on."""


def digest(data) -> bytes:
    """Returns the checksum that Python uses for hash-based bytecode files."""
    return _imp.source_hash(external._RAW_MAGIC_NUMBER, data)


def snippet_key(source: str, mode: str) -> bytes:
    """Returns the key of source code that is compiled in a start."""
    return digest(f"{mode} {source}".encode())


def header() -> bytes:
    """Returns the first bytes of a bundle of this interpreter."""
    return digest(repr(INTERPRETER).encode())


def pack(modules: dict, expressions: dict, groups: list) -> bytes:
    """Returns the bytes of a bundle.

    Args:
        modules: For each name the path, time, size and checksum of the source,
            whether it is a package, and the number of the group that has its
            code; see `Bundle.find_spec`. The checksum of an extension module is
            None.
        expressions: Arguments for `_sre.compile` by pattern and flags.
        groups: What is loaded at once, in the order of its use, since objects
            that code has in common are then read once: the code of modules by
            name, and of source code that is compiled in a start by its key.
    """
    parts = [marshal.dumps(group) for group in groups]
    index = marshal.dumps((modules, expressions, [*map(len, parts)]))
    size = len(index).to_bytes(WORD_BYTES, "little")
    data = b"".join([size, index, *parts])
    return header() + digest(data) + data


def unpack(data: bytes) -> tuple:
    """Returns a bundle's index and its code; empty if it is not valid.

    The checksum is verified first, since marshal may crash on other data.
    """
    content = memoryview(data)[2 * WORD_BYTES :]
    checksum = data[WORD_BYTES : 2 * WORD_BYTES]
    if data[:WORD_BYTES] != header() or digest(content) != checksum:
        return {}, {}, [], b""
    end = WORD_BYTES + int.from_bytes(content[:WORD_BYTES], "little")
    return *marshal.loads(content[WORD_BYTES:end]), content[end:]


class Bundle:
    """A finder of modules whose code is in a bundle.

    Attributes:
        state: "used", or why no module is imported from it.
        loaded: Number of modules that were imported from it.
        changed: Names of modules whose sources have changed since it was
            written.
    """

    def __init__(self, root: str, path: str):
        """Reads a bundle.

        Args:
            root: The checkout, by which the paths in the bundle are relative.
            path: The bundle.
        """
        self.loaded = 0
        self.changed: list[str] = []
        self._root = root
        self._replaced: list[tuple] = []
        try:
            with open(path, "rb", buffering=0) as file:
                data = file.read()
            self.state = "invalid"
        except OSError:
            data = b""
            self.state = "absent"
        self._modules, self._expressions, self._sizes, self._code = unpack(data)
        self._loaded_groups = 0
        self._codes: dict = {}
        self._snippets: dict = {}
        if self._modules:
            self.state = "used"

    def install(self) -> None:
        """Imports modules from the bundle from now on."""
        if self._modules:
            sys.meta_path.insert(0, self)

    def close(self) -> dict:
        """Imports modules as usual from now on and frees the bundle.

        Returns how far it was used.
        """
        if self in sys.meta_path:
            sys.meta_path.remove(self)
        for module, name, value in self._replaced:
            if value is None:
                delattr(module, name)
            else:
                setattr(module, name, value)
        self._replaced = []
        self._modules = {}
        self._expressions = {}
        self._codes = {}
        self._snippets = {}
        # Large enough for a mapping of its own, which is returned to the
        # system.
        self._code = b""
        return {
            "state": self.state,
            "modules": self.loaded,
            "changed": self.changed[:LOGGED_NAMES],
        }

    def find_spec(self, name: str, path=None, target=None):
        """Returns where a module is, if its code in the bundle is valid."""
        entry = self._modules.get(name)
        if entry is None:
            return None
        file, modified_ns, size, checksum, is_package, _ = entry
        file = os.path.join(self._root, file)
        if not unchanged(file, modified_ns, size, checksum):
            self.changed.append(name)
            return None
        self.loaded += 1
        loader = (
            external.ExtensionFileLoader(name, file)
            if checksum is None
            else Loader(name, file, self)
        )
        folders = [os.path.dirname(file)] if is_package else None
        return external.spec_from_file_location(
            name, file, loader=loader, submodule_search_locations=folders
        )

    def take_code(self, name: str):
        """Returns a module's code; None if there is none, or none any more."""
        entry = self._modules.get(name)
        while entry is not None and self._loaded_groups <= entry[-1]:
            self._load_group()
        return self._codes.pop(name, None)

    def _load_group(self) -> None:
        """Loads the next group of code objects."""
        start = sum(self._sizes[: self._loaded_groups])
        end = start + self._sizes[self._loaded_groups]
        self._loaded_groups += 1
        codes, snippets = marshal.loads(self._code[start:end])
        self._codes.update(codes)
        self._snippets.update(snippets)

    def executed(self, module) -> None:
        """Lets a module that compiles code at run time use the bundle."""
        if module.__name__ in COMPILING_FUNCTIONS:
            # Hides the built-in function; `close` removes it.
            function = COMPILING_FUNCTIONS[module.__name__]
            self._replaced.append((module, function, None))
            setattr(module, function, getattr(self, f"_{function}"))
        elif module.__name__ == "re._compiler":
            self._replaced.append((module, "compile", module.compile))
            module.compile = self._expression_compiler(module.compile)

    def _exec(self, source: str, *namespaces: dict) -> None:
        """Executes source code as `exec` does."""
        exec(self._compile(source, FILENAME, "exec"), *namespaces)

    def _eval(self, source: str, *namespaces: dict):
        """Evaluates an expression as `eval` does."""
        return eval(self._compile(source, FILENAME, "eval"), *namespaces)

    def _compile(self, source: str, filename: str, mode: str):
        """Compiles source code as `compile` does."""
        code = self._snippets.get(snippet_key(source, mode))
        if code is None or filename != FILENAME:
            return compile(source, filename, mode)
        return code

    def _expression_compiler(self, compile_expression):
        """Returns a function that compiles regular expressions.

        Args:
            compile_expression: The usual one.
        """
        compile_arguments = sys.modules["_sre"].compile

        def compile_or_find(pattern, flags=0):
            found = self._expressions.get((pattern, flags))
            if found is None:
                return compile_expression(pattern, flags)
            return compile_arguments(*found)

        return compile_or_find


class Loader(external.SourceFileLoader):
    """Loads a module from the bundle.

    In all else, such as sources for tracebacks and files of the package, it is
    the usual loader.
    """

    def __init__(self, name: str, path: str, bundle: Bundle):
        super().__init__(name, path)
        self._bundle = bundle

    def get_code(self, fullname: str):
        """Returns the code of the module."""
        code = self._bundle.take_code(fullname)
        if code is None:
            return super().get_code(fullname)
        # Does nothing unless the checkout has been moved.
        _imp._fix_co_filename(code, self.path)
        return code

    def exec_module(self, module) -> None:
        """Executes the module."""
        super().exec_module(module)
        self._bundle.executed(module)


def unchanged(
    file: str, modified_ns: int, size: int, checksum: bytes | None
) -> bool:
    """Returns whether a file is the one that the bundle was written from.

    A source whose time alone differs, as after a copy, is read and compared.

    Args:
        file: Path of the source or the extension module.
        modified_ns: Its time of the last change then.
        size: Its size then.
        checksum: Checksum of the source; None for an extension module.
    """
    try:
        found = os.stat(file)
        if found.st_size != size or found.st_mtime_ns == modified_ns:
            return found.st_size == size
        if checksum is None:
            # Only found here, not compiled.
            return True
        with open(file, "rb") as opened:
            return digest(opened.read()) == checksum
    except OSError:
        return False
