"""What the store says, by way of peers."""

from ryelatch_node.news._frames import Change
from ryelatch_node.news._memory import Blind, Heard, StoreTrouble
from ryelatch_node.news._service import News, setup

__all__ = ['Blind', 'Change', 'Heard', 'News', 'StoreTrouble', 'setup']
