"""Modules whose code is executed when one of their names is first used.

Libraries import some modules for features that an instance does not use. The
standard library's LazyLoader does not help: an import statement for a module
that it has registered executes the module.
"""

import importlib.util
import sys
import types
from typing import Any


def defer(name: str) -> types.ModuleType:
    """Registers a module without executing its code; returns it.

    Import statements then find the module; its code is executed when a name is
    used that it does not have yet. Submodules of a package can be imported
    without that. Returns the module unchanged if it is loaded already.

    Args:
        name: Full name of the module. Its package is imported at once.
    """
    if name in sys.modules:
        return sys.modules[name]
    spec = importlib.util.find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    module = importlib.util.module_from_spec(spec)

    def load_attribute(attribute: str) -> Any:
        # Removed first, so that a name that does not exist raises the usual
        # error.
        del module.__dict__["__getattr__"]
        spec.loader.exec_module(module)
        return getattr(module, attribute)

    module.__dict__["__getattr__"] = load_attribute
    sys.modules[name] = module
    package, _, child = name.rpartition(".")
    if package:
        setattr(sys.modules[package], child, module)
    return module
