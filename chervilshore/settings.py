"""The daemon's settings, from flags, environment variables and a file."""

import argparse
from collections import abc as collections_abc
import typing

import msgspec

from chervilshore import exceptions
from chervilshore import settingspecs

FILE_VARIABLE = settingspecs.VARIABLE_PREFIX + "SETTINGS"
"""The environment variable with the path of the settings file."""


class Settings:
    """Validated settings, as attributes with the names in the catalogue."""

    def __init__(self, values: dict[str, typing.Any]) -> None:
        self.__dict__.update(values)

    @property
    def carries_out_rollouts(self) -> bool:
        """Whether the bounds of roll-outs are set."""
        bounds = (self.exposure_share, self.exposure_slack, self.rollback_ms)
        return None not in bounds

    def __getattr__(self, name: str) -> typing.Any:
        """Raise AttributeError for an unknown setting."""
        raise AttributeError(f"there is no setting {name!r}")


def make_parser() -> argparse.ArgumentParser:
    """Create the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="chervilshored",
        description="Serve model pipelines on this entry host.",
        epilog="A flag overrides its environment variable, and both override "
        "the settings file.",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    parser.add_argument(
        "--file",
        metavar="PATH",
        help=f"a JSON file with settings by name ({FILE_VARIABLE})",
    )
    for setting in settingspecs.SETTINGS:
        default = "required"
        if setting.default is not None:
            default = f"default: {setting.default or 'none'}"
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar="VALUE",
            help=f"{setting.text}; {setting.kind.allowed} "
            f"({setting.variable}; {default})",
        )
    return parser


def read_file(path: str) -> dict[str, str]:
    """Read a settings file, a JSON object of settings as text by name.

    Raises
    ------
    exceptions.SettingsError
        The file cannot be read or decoded.
    """
    try:
        with open(path, "rb") as source:
            return msgspec.json.decode(source.read(), type=dict[str, str])
    except (OSError, msgspec.DecodeError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error


def load(
    flags: collections_abc.Mapping[str, str | None],
    environment: collections_abc.Mapping[str, str],
    file: collections_abc.Mapping[str, str] | None = None,
) -> Settings:
    """Load and validate all settings.

    Parameters
    ----------
    flags : mapping
        The values of flags, by the name of the setting.
    environment : mapping
        The environment variables.
    file : mapping or None
        The values of a settings file; flags and variables override them. An
        empty value counts as not given.

    Raises
    ------
    exceptions.SettingsError
        Lists each invalid setting with its value and what is allowed.
    """
    values = {}
    problems = []
    for setting in settingspecs.SETTINGS:
        text, where = _find_text(setting, flags, environment, file or {})
        if text is None:
            problems.append(f"{where} is required: {setting.kind.allowed}")
            continue
        try:
            values[setting.name] = setting.kind.parse(text)
        except ValueError:
            problems.append(
                f"{where} is {text!r}, allowed is {setting.kind.allowed}"
            )
    if problems:
        raise exceptions.SettingsError("\n".join(problems))
    return Settings(values)


def _find_text(
    setting: settingspecs.Setting,
    flags: collections_abc.Mapping[str, str | None],
    environment: collections_abc.Mapping[str, str],
    file: collections_abc.Mapping[str, str],
) -> tuple[str | None, str]:
    """Return the text of a setting, and where it was given."""
    where = f"{setting.flag} ({setting.variable})"
    if (text := flags.get(setting.name)) is not None:
        return text, where
    if (text := environment.get(setting.variable)) is not None:
        return text, where
    if file.get(setting.name):
        return file[setting.name], f"{setting.name} in the settings file"
    return setting.default, where
