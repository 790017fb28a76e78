"""The settings in force on this node, and how they get here."""

from ryelatch_node.config._service import (
    SettingsApplied,
    SettingsHolder,
    setup,
)

__all__ = ['SettingsApplied', 'SettingsHolder', 'setup']
