"""Adapter between the simulator's line protocol and :class:`~starlingwick.control.Pacer`.

Reads batches of event lines from standard input, passes each event to the Pacer of the relay instance that it
is for, and writes the resulting actions as reply lines to standard output. An instance is one simulated
relay. The adapter makes no decisions of its own. A malformed line ends the process with exit status 1 and a
one-line message on standard error.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.settings import SettingsError, parse_settings

NS_PER_MS = 1_000_000


class WireError(Exception):
    """The input violates the line protocol."""


def _parse_fields(text: str) -> dict[str, str]:
    """Parse space-separated ``name=value`` fields."""
    fields: dict[str, str] = {}
    for part in text.split(" ") if text else []:
        name, equals_sign, value = part.partition("=")
        if not equals_sign or not name:
            raise WireError(f"'{part}' is not name=value")
        fields[name] = value
    return fields


def _required_field(fields: dict[str, str], name: str) -> str:
    if name not in fields:
        raise WireError(f"field '{name}' is missing")
    return fields[name]


def _int_field(fields: dict[str, str], name: str, default: int | None = None) -> int:
    """Return the field as an integer; ``default`` if it is missing and a default is given."""
    if default is not None and name not in fields:
        return default
    text = _required_field(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field '{name}': '{text}' is not an integer") from None


def _enum_member(enum_type: Any, name: str, value: Any) -> Any:
    """Return the member of ``enum_type`` with this value; ``name`` is the field's name for the error."""
    try:
        return enum_type(value)
    except ValueError:
        raise WireError(f"field '{name}': unknown value '{value}'") from None


def _bool_field(fields: dict[str, str], name: str) -> bool:
    """Return the field as a boolean; False if it is missing."""
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(f"field '{name}': '{value}' is not 0 or 1")
    return value == "1"


def _parse_settings_json(text: str) -> io.Settings:
    try:
        return parse_settings(json.loads(text))
    except SettingsError as error:
        raise WireError(f"field 'facts': {error}") from None
    except ValueError as error:
        raise WireError(f"field 'facts': not JSON: {error}") from None


def _parse_load_report(fields: dict[str, str]) -> io.LoadReport | None:
    """Parse the field ``metrics``, a comma-separated list of ``name:value``.

    Returns None if the field is missing, empty or ``-``, or holds neither ``x0`` (remaining share) nor ``x1``
    (limit in calls a second).
    """
    text = fields.get("metrics", "-")
    if text in ("", "-"):
        return None
    values: dict[str, float] = {}
    for part in text.split(","):
        name, colon, value = part.partition(":")
        try:
            # float("") raises ValueError: a part without a colon is malformed.
            values[name] = float(value) if colon else float("")
        except ValueError:
            raise WireError(f"field 'metrics': '{part}' is not name:number") from None
    if "x0" not in values and "x1" not in values:
        return None
    return io.LoadReport(remaining=values.get("x0", 0.0), limit=values.get("x1", 0.0))


def _parse_endpoint_entry(fields: dict[str, str]) -> io.EndpointEntry:
    try:
        rate = float(fields.get("heft", "1"))
    except ValueError:
        raise WireError(f"field 'heft': '{fields['heft']}' is not a number") from None
    return io.EndpointEntry(
        endpoint=_required_field(fields, "host"),
        zone=_int_field(fields, "locality", 0),
        kind=_int_field(fields, "classOfHost", 0),
        destination=_int_field(fields, "belongsTo"),
        availability=_enum_member(io.Availability, "availability", _required_field(fields, "availability")),
        rate=rate,
    )


def _parse_message_arrived(fields: dict[str, str]) -> io.Event:
    return io.MessageArrived(
        message_id=_required_field(fields, "call"),
        tenant=_int_field(fields, "project", 0),
        class_index=_int_field(fields, "priority", 0),
        destination=_int_field(fields, "dest"),
        key=fields.get("subject"),
        time_left=_int_field(fields, "patienceLeft"),
    )


def _parse_attempt_ended(fields: dict[str, str]) -> io.Event:
    status = _enum_member(io.Status, "status", _int_field(fields, "status"))
    # The retry-after in milliseconds if the status is FULL. With MOOT, 1 means that no call slot was free.
    remark = _int_field(fields, "remarkMs", 0)
    return io.AttemptEnded(
        message_id=_required_field(fields, "call"),
        attempt=_int_field(fields, "roundNo", 0),
        endpoint=_required_field(fields, "host"),
        status=status,
        duration=_int_field(fields, "costTime", 0),
        finished=_bool_field(fields, "finished"),
        retry_after=remark * NS_PER_MS if status is io.Status.FULL else 0,
        no_slot=status is io.Status.MOOT and remark == 1,
        report=_parse_load_report(fields),
    )


def _parse_probe_ended(fields: dict[str, str]) -> io.Event:
    return io.ProbeEnded(
        endpoint=_required_field(fields, "host"),
        status=_enum_member(io.Status, "status", _int_field(fields, "status")),
        duration=_int_field(fields, "costTime", 0),
        report=_parse_load_report(fields),
    )


# Parsers of the events that need only their own fields, by the first word of the line.
EVENT_PARSERS: dict[str, Callable[[dict[str, str]], io.Event]] = {
    "new_request": _parse_message_arrived,
    "withdrawn": lambda fields: io.MessageWithdrawn(_required_field(fields, "call")),
    "verdict": _parse_attempt_ended,
    "probed": _parse_probe_ended,
    "alarm": lambda fields: io.TimerExpired(_int_field(fields, "ctx", 0)),
}


def format_action(action: io.Action) -> str:
    """Return the reply line for an action, without a line end.

    Raises AssertionError for EvictDestination and PersistHealth, which the protocol cannot express: the
    caller leaves out PersistHealth, and no destination is loaded on demand here, so none is evicted.
    """
    match action:
        case io.Send(message_id, endpoint, deadline):
            return f"pass_on call={message_id} host={endpoint} stopAt={deadline}"
        case io.Reject(message_id, retry_after):
            return (
                f"reject call={message_id} holdOff={retry_after}"
                if retry_after
                else f"reject call={message_id}"
            )
        case io.Fail(message_id):
            return f"finish_error call={message_id}"
        case io.Cancel(message_id, attempt):
            return f"stop_attempt call={message_id} roundNo={attempt}"
        case io.Probe(endpoint, _):
            return f"health_check host={endpoint}"
        case io.CloseIdleConnections(endpoint):
            return f"close host={endpoint}"
        case io.EvictDestination() | io.PersistHealth():
            raise AssertionError(f"the protocol has no reply line for {action}")
        case io.SetTimer(delay, token):
            return f"defer wait={delay} ctx={token}"
        case io.Subscribe():
            return "keep_informed on=1"
        case io.Log(text):
            return f"emit message={' '.join(text.split())}"


class WireHost:
    """Runs the simulated relay instances of one process.

    Each instance has its own Pacer; instances share no state but the endpoint catalogs that the simulator
    sends.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.pacers: dict[int, Pacer] = {}  # by instance number
        self.catalogs: dict[int, tuple[io.EndpointEntry, ...]] = {}  # by buffer number

    def _read_line(self) -> str | None:
        """Return the next line without its line end; None at the end of the input."""
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        return line.rstrip("\r\n")

    def run(self) -> int:
        """Process batches until the input ends and return the exit status, 1 if a line was malformed."""
        line: str | None = ""
        try:
            while (line := self._read_line()) is not None:
                if not line:
                    continue
                name, _, field_text = line.partition(" ")
                if name != "sync":
                    raise WireError(f"a batch must begin with 'sync', not '{name}'")
                self._process_batch(_int_field(_parse_fields(field_text), "atTime"))
        except WireError as error:
            print(f"line {self.line_number}: {error}", file=sys.stderr)
            return 1
        return 0

    def _process_batch(self, now: int) -> None:
        """Read the lines of a batch up to ``eob``, then let each instance that has events handle them."""
        pending: dict[int, list[io.Event]] = {}
        instance: int | None = None
        while True:
            line = self._read_line()
            if line is None:
                raise WireError("the input ended within a batch, before 'eob'")
            if line == "eob":
                break
            name, _, field_text = line.partition(" ")
            if name == "instance":
                instance = _int_field(_parse_fields(field_text), "relay")
            elif name == "catalog":
                self._read_catalog(_parse_fields(field_text))
            elif instance is None:
                raise WireError(f"'{name}' before any 'instance'")
            elif name == "up":
                # The value of 'facts' is JSON, which may contain spaces, so it must be the last field.
                leading_fields, separator, settings_json = field_text.partition("facts=")
                if not separator:
                    raise WireError("field 'facts' is missing")
                self.pacers[instance] = Pacer(
                    _parse_settings_json(settings_json),
                    _int_field(_parse_fields(leading_fields.strip()), "rngSeed"),
                )
                pending[instance] = []
            elif name == "halt":
                self.pacers.pop(instance, None)
                pending.pop(instance, None)
            elif name == "roster_change":
                self._add_event(pending, instance, self._parse_endpoint_update(_parse_fields(field_text)))
            elif name in EVENT_PARSERS:
                self._add_event(pending, instance, EVENT_PARSERS[name](_parse_fields(field_text)))
            elif name in ("started", "mail"):
                # Checked for syntax, then ignored: 'started' reports streams and 'mail' carries messages
                # between relays; the Pacer uses neither.
                _parse_fields(field_text)
            else:
                raise WireError(f"unknown event '{name}'")
        self._write_replies(now, pending)

    def _add_event(self, pending: dict[int, list[io.Event]], instance: int, event: io.Event) -> None:
        if instance not in self.pacers:
            raise WireError(f"an event for instance {instance}, which has not started")
        pending.setdefault(instance, []).append(event)

    def _read_catalog(self, fields: dict[str, str]) -> None:
        """Read the entries that follow a ``catalog`` line and store them under its buffer number."""
        buffer_number, entry_count = _int_field(fields, "buffer"), _int_field(fields, "entries")
        entries = []
        for _ in range(entry_count):
            name, _, field_text = (self._read_line() or "").partition(" ")
            if name != "m":
                raise WireError(f"an entry of a catalog must begin with 'm', not '{name}'")
            entries.append(_parse_endpoint_entry(_parse_fields(field_text)))
        self.catalogs[buffer_number] = tuple(entries)

    def _parse_endpoint_update(self, fields: dict[str, str]) -> io.EndpointUpdate:
        scope = _enum_member(io.UpdateScope, "scope", _required_field(fields, "scope"))
        if scope is io.UpdateScope.FAILED:
            return io.EndpointUpdate(scope, ())
        buffer_number = _int_field(fields, "buffer")
        if buffer_number not in self.catalogs:
            raise WireError(f"field 'buffer': no catalog {buffer_number}")
        return io.EndpointUpdate(scope, self.catalogs[buffer_number])

    def _write_replies(self, now: int, pending: dict[int, list[io.Event]]) -> None:
        """Let each Pacer handle its events; write the resulting actions, then ``done``."""
        reply_lines: list[str] = []
        for instance, events in pending.items():
            try:
                actions = [
                    action
                    for action in self.pacers[instance].handle(now, events)
                    if not isinstance(action, io.PersistHealth)  # no storage outlives a simulated instance
                ]
            except Exception as error:
                # Report any error as 'fatal', so that the simulation stops with its text instead of going on
                # without the instance.
                message = " ".join(f"{type(error).__name__}: {error}".split())
                reply_lines += [f"at relay={instance}", f"fatal message={message}"]
                continue
            if actions:
                reply_lines.append(f"at relay={instance}")
                reply_lines.extend(format_action(action) for action in actions)
        reply_lines.append("done\n")
        self.sink.write("\n".join(reply_lines))
        self.sink.flush()


def main() -> int:
    """Process batches from standard input, reply on standard output, and return the exit status."""
    return WireHost(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
