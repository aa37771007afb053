"""Adapter of the JSON form of settings: nested objects and lists become a mapping of dotted paths to values.

For example, `{"limits": {"maxAttempts": 4}}` has the value 4 under the path `limits.maxAttempts`. A list of
objects has its length under `PATH.count` and its objects under `PATH.0`, `PATH.1` and so on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from limiter.codecs.settings_text import parse_settings_lines
from limiter.configuration.settings_reader import SettingValue, format_value


def flatten_settings(document: Mapping[str, object]) -> dict[str, SettingValue]:
    """Return the values of nested settings by their paths; a null counts as absent.

    Raises:
        UnicodeError: a text holds half a surrogate pair, which JSON can state and UTF-8 can't.
        RecursionError: the settings are nested too deep.
    """
    pairs = list(_walk(document, ""))
    _check_encodable(pairs)
    values: dict[str, SettingValue] = {}
    for path, value in pairs:
        if "=" in path or path.splitlines() != [path]:
            # The text form can't state such a path. It is read as the line or lines that it would make.
            values.update(parse_settings_lines(f"{path}={format_value(value)}"))
        else:
            values[path.strip()] = value
    return values


def _walk(node: object, path: str) -> Iterator[tuple[str, SettingValue]]:
    """Yield the path and value of each leaf below a node of the document, in the document's order."""
    match node:
        case dict():
            for key, item in node.items():
                yield from _walk(item, f"{path}.{key}" if path else str(key))
        case [dict(), *_]:
            yield f"{path}.count", len(node)
            for index, item in enumerate(node):
                yield from _walk(item, f"{path}.{index}")
        case list():
            yield path, ",".join(format_value(_to_value(item)) for item in node)
        case None:
            return
        case _:
            yield path, _to_value(node)


def _to_value(leaf: object) -> SettingValue:
    """Return the value that a leaf of the document stands for."""
    match leaf:
        case bool() | int():
            return leaf
        case float():
            # JSON doesn't tell integers from floats: 6.0 is accepted where an integer is read.
            return int(leaf) if leaf.is_integer() else leaf
        case _:
            # A comma separates the entries of a list and blanks end a word, so neither may be in a text.
            return "_".join(str(leaf).replace(",", " ").split())


def _check_encodable(pairs: list[tuple[str, SettingValue]]) -> None:
    """Raise UnicodeError, with the position in the settings as lines, unless UTF-8 can encode them."""
    "\n".join(f"{path}={format_value(value)}" for path, value in pairs).encode()
