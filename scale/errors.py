"""Errors of the experiments."""

from __future__ import annotations


class ExperimentError(Exception):
    """An experiment that cannot be run; the message is one line, `KEY: what is wrong`."""

    def __init__(self, key: str, problem: str) -> None:
        """State the problem.

        Args:
            key: path of a key in the experiment's file, or the file, or an option of the command line.
            problem: what is wrong with it.
        """
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem
