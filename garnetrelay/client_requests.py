"""The request with which a client hands in a message."""

from __future__ import annotations

from dataclasses import dataclass

from garnetrelay.commands import MAX_BODY_BYTES, InvalidRequest


@dataclass(frozen=True, slots=True)
class Request:
    """A message enqueued by a client."""

    message_id: str
    class_name: str
    destination: int
    key: str | None
    time_left_ms: int
    body: bytes


def parse_enqueue(arguments: list[bytes]) -> Request:
    """Parse the arguments of an ENQUEUE command."""
    if len(arguments) != 5:
        raise InvalidRequest("wrong number of arguments for 'ENQUEUE'")
    values: dict[str, str] = {}
    for field in _decode_ascii(arguments[3], 1024, "list").split(","):
        name, equals, value = field.partition("=")
        if not equals:
            raise InvalidRequest(f"'{field[:40]}' is not name=value")
        values[name] = value
    if len(arguments[4]) > MAX_BODY_BYTES:
        raise InvalidRequest("body over 64 KiB")
    for name in ("c", "d", "dest"):
        if name not in values:
            raise InvalidRequest(f"'{name}' is missing")
    time_left_ms = _parse_integer(values["d"], "d")
    if not time_left_ms:
        raise InvalidRequest("'d' must be above 0")
    key = values.get("k")
    return Request(
        message_id=_check_header_value(_decode_ascii(arguments[2], 200, "id"), "id"),
        class_name=values["c"],
        destination=_parse_integer(values["dest"], "dest"),
        key=None if key is None else _check_header_value(key, "k"),
        time_left_ms=time_left_ms,
        body=arguments[4],
    )


def _decode_ascii(argument: bytes, max_length: int, field_name: str) -> str:
    if not argument.isascii() or len(argument) > max_length:
        raise InvalidRequest(f"unreadable {field_name}")
    return argument.decode("ascii")


def _check_header_value(text: str, field_name: str) -> str:
    # The text is copied into an HTTP header: a space or control character could inject another header.
    if not text or any(not "!" <= character <= "~" for character in text):
        raise InvalidRequest(f"unreadable {field_name}")
    return text


def _parse_integer(text: str, field_name: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise InvalidRequest(f"'{field_name}' is no whole number in range")
    return int(text)
