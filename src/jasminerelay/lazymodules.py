"""Modules whose code is executed when one of their names is first used.

Libraries import some modules for features that an instance does not use. The
standard library's LazyLoader does not help: an import statement for a module
that it has registered executes the module.
"""

import importlib.util
import sys
import types
from importlib.machinery import ModuleSpec
from typing import Any


def defer(name: str, **known: Any) -> types.ModuleType:
    """Registers a module without executing its code; returns it.

    Import statements then find the module; its code is executed when a name is
    used that it does not have yet. Submodules of a package can be imported
    without that. Returns the module unchanged if it is loaded already.

    A module whose package is imported only later is found by import statements,
    also by "from package import module", but is no attribute of the package.

    Args:
        name: Full name of the module.
        **known: Names that can be used before its code is executed, with
            values that serve as well as its own.
    """
    if name in sys.modules:
        return sys.modules[name]
    spec = _find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    module = importlib.util.module_from_spec(spec)

    def load_attribute(attribute: str) -> Any:
        if attribute == "__path__":
            # Asked for by "from module import name"; packages have it.
            raise AttributeError(attribute)
        # Removed first, so that a name that does not exist raises the usual
        # error.
        del module.__dict__["__getattr__"]
        spec.loader.exec_module(module)
        return getattr(module, attribute)

    module.__dict__.update(known, __getattr__=load_attribute)
    sys.modules[name] = module
    package, _, child = name.rpartition(".")
    if package in sys.modules:
        setattr(sys.modules[package], child, module)
    return module


def is_deferred(module: types.ModuleType) -> bool:
    """Returns whether a module's code is still to be executed."""
    load = vars(module).get("__getattr__")
    return getattr(load, "__module__", None) == __name__


def _find_spec(name: str) -> ModuleSpec | None:
    """Returns where a module is, without importing its package."""
    package = name.rpartition(".")[0]
    if not package or package in sys.modules:
        return importlib.util.find_spec(name)
    found = _find_spec(package)
    if found is None:
        return None
    for finder in sys.meta_path:
        spec = finder.find_spec(name, found.submodule_search_locations)
        if spec is not None:
            return spec
    return None
