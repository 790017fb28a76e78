"""Imports scripts from ``benchmarks``, for their tests."""

import sys
from importlib import util
from pathlib import Path
from types import ModuleType

_FOLDER = Path(__file__).parents[1] / 'benchmarks'


def load_script(name: str) -> ModuleType:
    """Import a script of the folder ``benchmarks`` by its name."""
    spec = util.spec_from_file_location(name, _FOLDER / f'{name}.py')
    assert spec is not None
    assert spec.loader is not None
    module = util.module_from_spec(spec)
    # A dataclass looks up its module in ``sys.modules`` when it is defined.
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
