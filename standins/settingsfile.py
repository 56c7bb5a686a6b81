"""Fills in the settings template as the users' platform does."""

import re

import msgspec

_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template: str, fields: dict) -> str:
    """Fill in the placeholders of a template.

    Parameters
    ----------
    template : str
        Text with `{{a.b}}` and `{{a.b|json}}`; lists are joined by commas.
    fields : dict
        The values, as nested tables.

    Returns
    -------
    str
        The text.

    Raises
    ------
    KeyError
        A field is not there.
    """

    def fill(found: re.Match) -> str:
        value = fields
        for part in found[1].split("."):
            value = value[int(part) if isinstance(value, list) else part]
        if found[2]:
            return msgspec.json.encode(value).decode()
        if isinstance(value, list):
            return ",".join(str(one) for one in value)
        return str(value)

    return _PLACEHOLDER.sub(fill, template)
