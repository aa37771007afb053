"""Codec of the text form of settings: lines `path=value`, which the simulator sends.

For example, `classes.0.deadline=6000.0` sets the deadline of the first request class.
"""

from __future__ import annotations


def decode_settings_text(data: bytes) -> dict[str, str]:
    """Return a mapping from paths to values of settings in UTF-8; invalid bytes are replaced."""
    return parse_settings_lines(data.decode("utf-8", "replace"))


def parse_settings_lines(text: str) -> dict[str, str]:
    """Return a mapping from the paths to the values of lines `path=value`.

    Blanks around a path and a value are removed. Lines without an equals sign are ignored, and if a path
    occurs in several lines, the last one applies.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, equals_sign, value = line.partition("=")
        if equals_sign:
            values[path.strip()] = value.strip()
    return values
