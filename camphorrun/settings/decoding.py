"""Decoding of JSON settings into validated dataclasses."""

import dataclasses
import ipaddress
import types
import typing
from pathlib import Path

import msgspec

from ..core import CamphorrunError

MIN_PORT = 1
MAX_PORT = 65535


class SettingsError(CamphorrunError):
    """Invalid or unreadable settings; ``field`` is the path of the invalid field."""

    default_code = "bad_settings"


def decode_settings(data: bytes, kind: type) -> object:
    """Decode JSON into a settings dataclass.

    Keys, types and the checks of the dataclasses themselves are validated here;
    ``check_settings`` validates the rest.

    Parameters
    ----------
    data : bytes
        JSON text of the settings file.
    kind : type
        Settings dataclass of the role.

    Returns
    -------
    object
        An instance of ``kind``.

    Raises
    ------
    SettingsError
        For malformed JSON, an unknown key, a wrong type or a value out of range.
    """
    try:
        raw = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise SettingsError(f"settings are not valid JSON: {exc}") from exc
    _reject_unknown_keys(raw, kind, "$")
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        message, _, path = str(exc).partition(" - at ")
        field = path.strip("`") or "$"
        raise SettingsError(f"{field}: {message}", field=field) from exc


def load_settings(path: str, kind: type) -> object:
    """Read and decode a settings file.

    Raises
    ------
    SettingsError
        With code ``no_settings`` if the file can't be read, otherwise as
        ``decode_settings``.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(
            f"{path}: settings file can't be read: {exc.strerror}", code="no_settings"
        ) from exc
    return decode_settings(data, kind)


def check_address(value: str, field: str) -> str:
    """Return ``value`` if it is ``ip:port``, else raise ``SettingsError``.

    The error contains ``field``, the path of the value in the settings.

    Examples
    --------
    >>> check_address("127.0.0.1:8080", "listen")
    '127.0.0.1:8080'
    """
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
        in_range = MIN_PORT <= int(port) <= MAX_PORT
    except ValueError:
        in_range = False
    if not in_range:
        raise SettingsError(f"{field}: expected ip:port, got {value!r}", field=field)
    return value


def _reject_unknown_keys(raw: object, kind: object, path: str) -> None:
    """Raise ``SettingsError`` for the first key of ``raw`` that ``kind`` lacks.

    Nested dataclasses, also in lists, are checked recursively.
    """
    origin = typing.get_origin(kind)
    if origin in (tuple, list) and isinstance(raw, list):
        item_kind = typing.get_args(kind)[0]
        for index, item in enumerate(raw):
            _reject_unknown_keys(item, item_kind, f"{path}[{index}]")
        return
    if origin is types.UnionType:
        kind = next(arg for arg in typing.get_args(kind) if arg is not type(None))
    if not dataclasses.is_dataclass(kind) or not isinstance(raw, dict):
        return
    hints = typing.get_type_hints(kind)
    for key, value in raw.items():
        field = f"{path}.{key}"
        if key not in hints:
            known = ", ".join(sorted(hints))
            raise SettingsError(
                f"{field}: unknown key; expected one of: {known}", field=field
            )
        _reject_unknown_keys(value, hints[key], field)
