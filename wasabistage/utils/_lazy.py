"""Lazy loading of the modules of a package."""

import importlib


def build_lazy_exports(package, modules):
    """Return the ``__getattr__`` and ``__all__`` of a lazily loaded package.

    Each module is imported when one of its names is first used, so that a process that
    uses few names of a package starts faster.

    :param package: name of the package.
    :param modules: dict of module name, such as ``"_router"``, to a tuple of the public
        names that the module defines.
    :return: a tuple of the function ``__getattr__`` and the sorted list ``__all__``.
    """
    module_by_name = {
        name: module for module, names in modules.items() for name in names
    }

    def get_attribute(name):
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{module_by_name[name]}")
        value = getattr(module, name)
        setattr(importlib.import_module(package), name, value)
        return value

    return get_attribute, sorted(module_by_name)
