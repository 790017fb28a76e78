"""Shares the store's changes among nodes, so that few of them watch it."""

from ryelatch_node.news._frames import Change, PermitQuestion, PermitReply
from ryelatch_node.news._line import FAILURES, Line, open_line
from ryelatch_node.news._memory import Blind, Heard, StoreTrouble
from ryelatch_node.news._service import News, setup

__all__ = [
    'FAILURES',
    'Blind',
    'Change',
    'Heard',
    'Line',
    'News',
    'PermitQuestion',
    'PermitReply',
    'StoreTrouble',
    'open_line',
    'setup',
]
