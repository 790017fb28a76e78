"""Answers of a model, run over chains of engines."""

from ryelatch_node.answers._answer import Answer, AnswerError, Finish
from ryelatch_node.answers._service import Answers, GenerationJob, setup

__all__ = ['Answer', 'AnswerError', 'Answers', 'Finish', 'GenerationJob', 'setup']
