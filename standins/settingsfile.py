"""Fills in the settings template as the users' platform does."""

import re

import msgspec

_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def render(template: str, fields: dict) -> str:
    """Return a template with its placeholders filled in.

    Parameters
    ----------
    template : str
        Text with `{{a.b}}`, where lists are joined by commas, `{{a.b|json}}`,
        which is replaced by JSON, and `{{#a.b}} .. {{/a.b}}`, which stays
        where there is a value other than false. A field without a value is
        replaced by nothing.
    fields : dict
        The values, in nested dicts and lists.
    """

    def fill(match: re.Match) -> str:
        value = _find(fields, match[1])
        if match[2]:
            return msgspec.json.encode(value).decode()
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)

    def choose(match: re.Match) -> str:
        value = _find(fields, match[1])
        return "" if value is None or value is False else match[2]

    return _PLACEHOLDER.sub(fill, _SECTION.sub(choose, template))


def _find(fields: dict, name: str):
    """Return the value of a field, or None."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value
