"""Flattens the JSON form of settings, nested objects and lists, to a mapping from dotted paths to values.

For example, `{"limits": {"maxAttempts": 4}}` has the value 4 at the path `limits.maxAttempts`. The length of
a list of objects is at `PATH.count`, and the objects are at `PATH.0`, `PATH.1` and so on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from limiter.codecs.settings_text import parse_settings_lines
from limiter.configuration.settings_reader import SettingValue, format_value


def flatten_settings(document: Mapping[str, object]) -> dict[str, SettingValue]:
    """Return a mapping from the paths of nested settings to their values; a null value counts as absent.

    Raises:
        UnicodeError: A string contains half a surrogate pair, which JSON can represent and UTF-8 cannot.
        RecursionError: The settings are nested too deeply.
    """
    pairs = list(_iterate_leaves(document, ""))
    _check_encodable(pairs)
    values: dict[str, SettingValue] = {}
    for path, value in pairs:
        if "=" in path or path.splitlines() != [path]:
            # The text form cannot represent such a path. It is formatted as text, and the resulting line or
            # lines are parsed.
            values.update(parse_settings_lines(f"{path}={format_value(value)}"))
        else:
            values[path.strip()] = value
    return values


def _iterate_leaves(node: object, path: str) -> Iterator[tuple[str, SettingValue]]:
    """Yield the path and value of each leaf below a node, in the order of the document."""
    match node:
        case dict():
            for key, item in node.items():
                yield from _iterate_leaves(item, f"{path}.{key}" if path else str(key))
        case [dict(), *_]:
            yield f"{path}.count", len(node)
            for index, item in enumerate(node):
                yield from _iterate_leaves(item, f"{path}.{index}")
        case list():
            yield path, ",".join(format_value(_to_value(item)) for item in node)
        case None:
            return
        case _:
            yield path, _to_value(node)


def _to_value(leaf: object) -> SettingValue:
    """Convert a leaf of the document to the value of a setting."""
    match leaf:
        case bool() | int():
            return leaf
        case float():
            # JSON does not distinguish integers from floats: 6.0 is accepted where an integer is required.
            return int(leaf) if leaf.is_integer() else leaf
        case _:
            # A comma separates the entries of a list and a blank ends a word, so a text must contain neither.
            return "_".join(str(leaf).replace(",", " ").split())


def _check_encodable(pairs: list[tuple[str, SettingValue]]) -> None:
    """Raise UnicodeError, with the position in the text form, unless UTF-8 can encode the settings."""
    "\n".join(f"{path}={format_value(value)}" for path, value in pairs).encode()
