"""Fills in the settings template as the users' platform does."""

import re

import msgspec

_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template: str, fields: dict) -> str:
    """Return a template with its placeholders filled in.

    Parameters
    ----------
    template : str
        Text with `{{a.b}}`, where lists are joined by commas, and
        `{{a.b|json}}`, which is replaced by JSON.
    fields : dict
        The values, in nested dicts and lists.

    Raises
    ------
    KeyError
        A placeholder names a field that does not exist.
    """

    def fill(match: re.Match) -> str:
        value = fields
        for part in match[1].split("."):
            value = value[int(part) if isinstance(value, list) else part]
        if match[2]:
            return msgspec.json.encode(value).decode()
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return str(value)

    return _PLACEHOLDER.sub(fill, template)
