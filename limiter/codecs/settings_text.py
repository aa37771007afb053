"""Codec of the text form of settings: `path=value` lines, in which the simulator gives them.

For example, `classes.0.deadline=6000.0` is the deadline of the first request class.
"""

from __future__ import annotations


def decode_settings_text(data: bytes) -> dict[str, str]:
    """Return the values of UTF-8 encoded settings by their paths; bytes that are not UTF-8 are replaced."""
    return parse_settings_lines(data.decode("utf-8", "replace"))


def parse_settings_lines(text: str) -> dict[str, str]:
    """Return the values of `path=value` lines by their paths.

    Blanks around a path and a value don't count. Lines without an equals sign are ignored, and where a path
    occurs twice, the last line holds.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, equals_sign, value = line.partition("=")
        if equals_sign:
            values[path.strip()] = value.strip()
    return values
