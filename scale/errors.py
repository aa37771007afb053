"""Errors in experiments and in the options of the command line."""

from __future__ import annotations


class ExperimentError(Exception):
    """An experiment cannot be run. The message is one line of the form `KEY: what is wrong`."""

    def __init__(self, key: str, problem: str) -> None:
        """Create an error that states a problem.

        Args:
            key: the path of a key in the experiment file, the path of the file itself, or an option of the
                command line.
            problem: what is wrong with it.
        """
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem
