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
        `{{a.b|json}}`, which is replaced by JSON. A field without a value
        in the last of its tables is replaced by nothing.
    fields : dict
        The values, in nested dicts and lists.

    Raises
    ------
    KeyError
        A placeholder names a table that does not exist.
    """

    def fill(match: re.Match) -> str:
        value = fields
        *tables, last = match[1].split(".")
        for part in tables:
            value = value[int(part) if isinstance(value, list) else part]
        if isinstance(value, list):
            value = value[int(last)]
        elif last not in value:
            return ""
        else:
            value = value[last]
        if match[2]:
            return msgspec.json.encode(value).decode()
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return str(value)

    return _PLACEHOLDER.sub(fill, template)
