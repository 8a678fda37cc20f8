"""Packages whose modules load when one of their names is first used."""

import importlib


def build_lazy_exports(package, modules):
    """Return what a package needs to load its modules on use.

    A process that needs a few names of a package then starts without the rest.

    :param package: name of the package.
    :param modules: dict of module, such as ``"_router"``, to a tuple of the public
        names that it defines.
    :return: a tuple of the package's ``__getattr__`` and ``__all__``.
    """
    homes = {name: module for module, names in modules.items() for name in names}

    def load(name):
        if name not in homes:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{homes[name]}")
        value = getattr(module, name)
        setattr(importlib.import_module(package), name, value)
        return value

    return load, sorted(homes)
