"""Loads the scripts beside the packages, for tests of them."""

import sys
from importlib import util
from pathlib import Path
from types import ModuleType

_FOLDER = Path(__file__).parents[1] / 'benchmarks'


def load_script(name: str) -> ModuleType:
    """Load a script of the folder ``benchmarks``."""
    spec = util.spec_from_file_location(name, _FOLDER / f'{name}.py')
    assert spec is not None
    assert spec.loader is not None
    module = util.module_from_spec(spec)
    # Data classes look their module up as they are made.
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
