"""The scale run: puts the parts together, plays the plan, and judges what came of it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import resource
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

import psutil
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Column

from fleetlab import result
from fleetlab.agent import Agent
from fleetlab.clients import Clients
from fleetlab.endpoints import Endpoints, Verdict, total_verdicts
from fleetlab.fleet import (
    DRAIN_TIME,
    Change,
    ChangeKind,
    Endpoint,
    Fleet,
    Outage,
    Plan,
    Restart,
    list_line,
)
from fleetlab.hollow import LABEL, Hollows
from fleetlab.ledger import Ledger, Rule
from fleetlab.realrelays import RealRelay, settle_memory
from fleetlab.result import Figure, Result

log = logging.getLogger(__name__)

LEAD = 0.5  # seconds from all being ready to the first message
HOLLOW_EACH = 250.0  # messages a second that one process of hollow relays can be asked for
MOST_HOLLOW_PROCESSES = 4
MOST_MEMORY_MB = 12_000  # of all processes together
MOST_PROCESSES = 300
SAMPLE_EVERY = 1.0  # seconds
SWEEP_BEHIND = 15.0  # seconds behind its time, and the settling, at which a message is judged in mid-run
PLAIN_EVERY = 5.0  # seconds between lines of progress where there is no terminal
SHUTDOWN = 30.0  # seconds for all to end


@dataclass(frozen=True, slots=True)
class Options:
    """How a run is played, beside what is played."""

    command: str  # that starts a real relay
    logs: Path | None = None  # a folder that keeps the relays' logs
    judge_time: bool = False
    quiet: bool = False


class ScaleRun:
    """One run. ``play`` it once."""

    def __init__(self, plan: Plan, options: Options) -> None:
        self.plan = plan
        self.options = options
        self.fleet = Fleet(plan)
        self.ledger = Ledger()
        self.why_not: list[str] = []
        self.interrupted = False
        self.begun = 0.0
        self.memory_mb = 0.0  # of all processes, at most
        self.processes = 0
        self.changes = 0
        self.outages = 0
        self.agent = Agent([])
        self.endpoints = Endpoints(self.ledger, [])
        self.relays: list[RealRelay] = []
        self.hollows = Hollows(plan, hollow_processes(plan))
        self.clients = Clients(self.fleet, self.ledger, [], time.monotonic)
        self._started: set[asyncio.Task[Any]] = set()
        self._whole: asyncio.Task[Any] | None = None

    async def play(self) -> Result:
        """The result, however it went; whatever was started has ended."""
        machine, started = result.machine(), result.now()
        raise_descriptors()
        loop = asyncio.get_running_loop()
        whole = self._whole = asyncio.current_task()
        assert whole is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, whole.cancel)
        with tempfile.TemporaryDirectory(prefix="fleetlab-") as folder:
            try:
                await self._play(self.options.logs or Path(folder))
            except asyncio.CancelledError:
                if not self.why_not:
                    self.interrupted = True
                    self.why_not.append("interrupted")
            except (OSError, TimeoutError) as error:
                self.why_not.append(f"not played to its end: {error or type(error).__name__}")
            finally:
                for number in (signal.SIGINT, signal.SIGTERM):
                    loop.remove_signal_handler(number)
                await self._end()
        return self._result(machine, started)

    async def _play(self, folder: Path) -> None:
        fleet, plan = self.fleet, self.plan
        self.endpoints = Endpoints(self.ledger, fleet.seeds("endpoints", len(fleet.drawn)), self._told)
        for dest in fleet.drawn:
            await self.endpoints.open(dest)
        addresses = self.endpoints.addresses
        self.agent = Agent(
            fleet.lines(addresses),
            on_notice=self._on_notice,
            call_time=plan.discovery_call,
            history=plan.history,
        )
        known = json.loads(self.agent.snapshot())
        for n in range(plan.relays):
            relay = self._make_relay(f"n{n}", folder / f"n{n}")
            self.relays.append(relay)
            discovery = await self.agent.listen(relay.name)
            relay.configure(
                fleet.config(
                    relay.name,
                    f"127.0.0.1:{relay.pool.port}",
                    discovery,
                    known,
                    f"{plan.seed}-{n}",
                    n % len(fleet.zone_names),
                )
            )
        hollow_agent = await self.agent.listen(LABEL)
        await asyncio.gather(
            *(relay.start() for relay in self.relays),
            self.hollows.start(hollow_agent, self.agent.index, addresses, folder / "hollow.log"),
        )
        self.clients = Clients(fleet, self.ledger, [relay.pool for relay in self.relays], time.monotonic)
        del known
        settle_memory()
        self.begun = time.monotonic() + LEAD
        self.hollows.begin(self.begun)
        self._spawn(self._sample())
        self._spawn(self._show())
        for outage in fleet.outages:
            self._spawn(self._outage(outage))
        for change in fleet.changes:
            self._spawn(self._change(change))
        for n in range(plan.relays):
            self._spawn(self._restarts(n))
        if plan.discovery_down:
            self._spawn(self._discovery_outage())
        await asyncio.sleep(max(0.0, self.begun - time.monotonic()))
        await self.clients.play(self.begun + plan.length)
        await self._settle()

    def _make_relay(self, name: str, folder: Path) -> RealRelay:
        return RealRelay(name, folder, self.options.command)

    async def _settle(self) -> None:
        """Until all that was taken on has ended, or its time is up."""
        last = time.monotonic() + self.plan.deadline + self.plan.settle
        while time.monotonic() < last and (self.ledger.open_messages or self.clients.tasks):
            await asyncio.sleep(0.05)

    async def _end(self) -> None:
        """End all that was started; nothing of it is left behind."""
        for task in list(self._started):
            task.cancel()
        await asyncio.gather(*self._started, return_exceptions=True)
        await self.clients.finish()
        for relay in self.relays:
            relay.sample()
        statuses = await asyncio.gather(*(relay.stop() for relay in self.relays))
        for relay, status in zip(self.relays, statuses, strict=True):
            if status and not relay.crashed:
                relay.crashed.append(f"{relay.name} ended with {status} on SIGTERM: {relay.last_line()}")
        if not await self.hollows.stop():
            self.why_not.append("a process of hollow relays did not end well")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN):
                await self.agent.close()
                await self.endpoints.close()
        self.ledger.check_expired(math.inf)

    # ---- what befalls the fleet

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._started.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._started.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.why_not.append(f"{type(error).__name__}: {error}")

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.begun + at - time.monotonic()))

    async def _outage(self, outage: Outage) -> None:
        await self._until(outage.at)
        self.outages += 1
        self.endpoints.begin_outage(outage.destination, outage.kind, self.begun + outage.at + outage.length)
        await self._until(outage.at + outage.length)
        await self.endpoints.recover(outage.destination, time.monotonic())

    async def _discovery_outage(self) -> None:
        await self._until(self.plan.length / 2)
        self.agent.suspend()
        await asyncio.sleep(self.plan.discovery_down)
        self.agent.resume()

    async def _change(self, change: Change) -> None:
        await self._until(change.at)
        self.changes += 1
        destination = self.fleet.destinations[change.destination]
        served = destination.number in self.endpoints.stand_ins
        if change.kind is ChangeKind.WEIGHT:
            destination.listed = round(destination.limit * change.factor, 2)
            self.agent.publish(
                [
                    list_line(endpoint, destination, self._address(endpoint))
                    for endpoint in destination.endpoints
                ]
            )
            return
        position = change.position % len(destination.endpoints)
        old = destination.endpoints[position]
        new = replace(old, name=f"{old.name[:10]}-{self.changes}", since_ms=time.time_ns() // 1_000_000)
        address = await self.endpoints.add(new) if served else self._address(old)
        destination.endpoints[position] = new
        self.agent.publish(
            [
                list_line(new, destination, address),
                list_line(old, destination, self._address(old), "Terminating"),
            ]
        )
        await asyncio.sleep(DRAIN_TIME)
        self.agent.publish([list_line(old, destination, self._address(old), "Gone")])
        self.endpoints.remove(old.name)

    def _address(self, endpoint: Endpoint) -> str:
        """As the list has it."""
        line = self.agent.entries.get(endpoint.name)
        return str(json.loads(line)["address"]) if line is not None else "127.0.0.1:9"

    async def _restarts(self, number: int) -> None:
        """Of one real relay, one after the other."""
        for restart in self.fleet.restarts:
            if not restart.hollow and restart.relay == number:
                await self._restart(restart)

    async def _restart(self, restart: Restart) -> None:
        await self._until(restart.at)
        relay = self.relays[restart.relay]
        if not relay.crashed:
            self.ledger.relay_restarting(relay.name)
            self.endpoints.forget_waits(relay.name)
            await relay.restart(restart.killed)
            self.endpoints.forget_waits(relay.name)
            self.ledger.relay_ready(relay.name, time.monotonic())

    def _told(self, relay: str, name: str) -> tuple[str, float] | None:
        stats = self.agent.stats.get(relay)
        return None if stats is None else stats.statuses.get(name)

    def _on_notice(self, ref: str, ending: str, wait_ms: int) -> None:
        self.ledger.record_notice(ref, ending, wait_ms, time.monotonic())

    # ---- what is shown and measured meanwhile

    async def _sample(self) -> None:
        here = psutil.Process()
        while True:
            for relay in self.relays:
                relay.sample()
            with contextlib.suppress(psutil.Error):
                everyone = [here, *here.children(recursive=True)]
                self.processes = max(self.processes, len(everyone))
                self.memory_mb = max(self.memory_mb, sum(resident_mb(process) for process in everyone))
            if self.memory_mb > MOST_MEMORY_MB or self.processes > MOST_PROCESSES:
                self.why_not.append(
                    f"stopped: {self.memory_mb:.0f} MB in {self.processes} processes are too much"
                )
                if self._whole is not None:
                    self._whole.cancel()
                return
            self.ledger.check_expired(time.monotonic() - self.plan.settle - SWEEP_BEHIND)
            await asyncio.sleep(SAMPLE_EVERY)

    def _line(self) -> str:
        counts, hollow = self.ledger.counts, self.hollows
        broken = sum(self.ledger.broken.values())
        return (
            f"delivered {counts.delivered} of {counts.offered}, open {self.ledger.open_messages}, "
            f"refused {counts.refused}, hollow {hollow.total('delivered')} of {hollow.total('offered')}, "
            f"changes {self.changes}, outages {self.outages}, "
            f"restarts {sum(relay.starts - 1 for relay in self.relays)}+{hollow.total('restarts')}, "
            f"rules broken {broken}"
        )

    async def _show(self) -> None:
        console = Console(stderr=True)
        if self.options.quiet:
            return
        if not console.is_terminal:
            while True:
                await asyncio.sleep(PLAIN_EVERY)
                print(
                    f"fleetlab: {max(0.0, time.monotonic() - self.begun):.0f} s of {self.plan.length:g}: "
                    f"{self._line()}",
                    flush=True,
                )
        text = TextColumn("{task.description}", table_column=Column(ratio=1, no_wrap=False))
        with Progress(
            BarColumn(20), TimeElapsedColumn(), text, console=console, transient=True, expand=True
        ) as progress:
            bar = progress.add_task("", total=self.plan.length)
            while True:
                progress.update(
                    bar,
                    completed=min(self.plan.length, max(0.0, time.monotonic() - self.begun)),
                    description=self._line(),
                )
                await asyncio.sleep(0.25)

    # ---- the judgement

    def _result(self, machine: dict[str, Any], started: str) -> Result:
        ledger, options = self.ledger, self.options
        crashes = [line for relay in self.relays for line in relay.crashed]
        if self.agent.unreadable_notices:
            ledger.broken[Rule.UNREADABLE] = self.agent.unreadable_notices
        self.why_not += [f"crashed: {line}" for line in crashes]
        unanswered = sum(relay.pool.unanswered for relay in self.relays)
        if unanswered:
            self.why_not.append(f"{unanswered} times closed with no answer, on a new connection")
        self.why_not += [
            f"{count} times {rule.value}"
            for rule, count in sorted(ledger.broken.items(), key=lambda item: item[0].name)
        ]
        if options.judge_time:
            self.why_not += [
                f"{count} times {timed.value}"
                for timed, count in sorted(ledger.timed.items(), key=lambda item: item[0].name)
            ]
        if not ledger.counts.delivered:
            self.why_not.append("no message was delivered")
        head, changed = result.commit(Path(__file__).parent.parent)
        return Result(
            passed=not self.why_not,
            why_not=self.why_not,
            seed=self.plan.seed,
            commit=head,
            changed=changed,
            started=started,
            machine=machine,
            arguments=self.plan.model_dump(),
            command=options.command,
            interrupted=self.interrupted,
            figures=self._figures(),
            broken={rule.name.lower(): ledger.broken[rule] for rule in Rule},
            timed={rule.name.lower(): count for rule, count in ledger.timed.items()},
            violations=ledger.violation_texts,
            relays={relay.name: self._relay(relay) for relay in self.relays},
        )

    def _figures(self) -> dict[str, Figure]:
        counts, plan = self.ledger.counts, self.plan
        verdicts = total_verdicts(self.endpoints.stand_ins)
        figures = result.counted(asdict(counts), "messages")
        figures["attempts"] = Figure(value=counts.attempts, unit="calls")
        for name in ("handed_in", "taken", "refused", "abandoned", "failed", "dead", "bounced"):
            figures[name] = Figure(value=getattr(counts, name), unit="hand-ins")
        figures["delivered_share"] = share(counts.delivered, counts.offered)
        figures["in_time_share"] = share(counts.in_time, counts.offered)
        figures["offered_rate"] = Figure(value=round(counts.offered / plan.length, 2), unit="messages/s")
        figures |= result.quantiles("delivery", self.ledger.delivery_latency)
        figures |= result.quantiles("answer", self.ledger.answer_latency)
        figures |= result.quantiles("hand_in_lateness", self.clients.lateness)
        figures |= result.counted({f"calls_{v.value}": verdicts[v] for v in Verdict}, "calls")
        by_relay = sum(
            (partner.calls_by_relay for partner in self.endpoints.stand_ins.values()), Counter[str]()
        )
        figures["calls_real"] = Figure(value=sum(by_relay[relay.name] for relay in self.relays), unit="calls")
        figures["calls_hollow"] = Figure(
            value=sum(count for name, count in by_relay.items() if name.startswith("h")), unit="calls"
        )
        figures["calls_unheard"] = Figure(value=self.endpoints.unread_responses, unit="calls")
        figures["probes"] = Figure(value=self.endpoints.probes, unit="probes")
        figures["fallen"] = Figure(
            value=sum(partner.overloaded for partner in self.endpoints.stand_ins.values()),
            unit="destinations",
        )
        figures["destinations"] = Figure(value=plan.destinations, unit="destinations")
        figures["list"] = Figure(value=len(self.agent.snapshot()), unit="bytes")
        figures["changes"] = Figure(value=self.changes, unit="changes")
        figures["versions"] = Figure(value=self.agent.index - 1, unit="versions")
        figures["outages"] = Figure(value=self.outages, unit="outages")
        figures["restarts"] = Figure(value=sum(max(0, r.starts - 1) for r in self.relays), unit="restarts")
        figures["memory"] = Figure(value=round(self.memory_mb, 1), unit="MB")
        figures["processes"] = Figure(value=self.processes, unit="processes")
        return figures | self._hollow_figures()

    def _hollow_figures(self) -> dict[str, Figure]:
        hollow, plan = self.hollows, self.plan
        units = {
            "calls": "calls",
            "full": "calls",
            "failed": "calls",
            "probes": "probes",
            "restarts": "restarts",
            "watches": "watches",
            "wholes": "lists",
            "control_bytes": "bytes",
        }
        figures = {
            f"hollow_{name}": Figure(value=hollow.total(name), unit=units.get(name, "messages"))
            for name in ("offered", "elsewhere", "delivered", "dead", "refused", *units)
        }
        figures["hollow_held"] = Figure(
            value=sum(int(latest.get("held", 0)) for latest in hollow.latest), unit="messages"
        )
        delivery, lateness = (HdrHistogram(1, 3_600_000_000, 3) for _ in range(2))
        told: list[float] = []
        slowest: dict[int, float] = {}
        for latest in hollow.latest:
            if "delivery" in latest:
                delivery.decode_and_add(latest["delivery"])
                lateness.decode_and_add(latest["lateness"])
            for text, times in latest.get("heard", {}).items():
                version = self.agent.published_at.get(int(text), math.inf)
                since = [at - version for at, alive_from in times if alive_from < version < math.inf]
                told += since
                if since:
                    slowest[int(text)] = max(slowest.get(int(text), 0.0), *since)
        figures |= result.quantiles("hollow_delivery", delivery)
        figures |= result.quantiles("hollow_lateness", lateness)
        figures |= result.spread("change_told", told, "s")
        figures |= result.spread("change_told_everywhere", slowest.values(), "s")
        if plan.hollow:
            per_relay = hollow.total("control_bytes") / plan.hollow / plan.length
            figures["hollow_control"] = Figure(value=round(per_relay, 2), unit="bytes/s each")
        return figures

    def _relay(self, relay: RealRelay) -> dict[str, Figure]:
        usage, stats = relay.usage, self.agent.stats.get(relay.name)
        figures = {
            "starts": Figure(value=relay.starts, unit="starts"),
            "cpu": Figure(value=round(usage.cpu, 3), unit="s"),
            "cpu_busiest": Figure(value=round(usage.busiest, 3), unit="cores"),
            "memory": Figure(value=round(usage.memory_mb, 1), unit="MB"),
            "memory_limit": Figure(value=self.plan.memory_mb, unit="MB"),
            "descriptors": Figure(value=usage.descriptors, unit="descriptors"),
            "disk": Figure(value=round(usage.disk_mb, 3), unit="MB"),
            "connections_from_clients": Figure(value=relay.pool.connections, unit="connections"),
        }
        if stats is not None:
            figures |= {
                "watches": Figure(value=stats.watches, unit="watches"),
                "whole_lists": Figure(value=stats.snapshots, unit="lists"),
                "control": Figure(value=round(stats.bytes / self.plan.length, 2), unit="bytes/s"),
                "notices": Figure(value=stats.notices, unit="notices"),
            }
        return figures | result.spread("ready", relay.ready_after, "s")


def hollow_processes(plan: Plan) -> int:
    """How many processes the hollow relays share."""
    load = plan.hollow * max(plan.hollow_rate, 1.0)  # a watch costs something too
    return min(MOST_HOLLOW_PROCESSES, max(1, math.ceil(load / HOLLOW_EACH)))


def share(part: int, whole: int) -> Figure:
    return Figure(value=round(part / whole, 4) if whole else None, unit="1")


def resident_mb(process: psutil.Process) -> float:
    try:
        return float(process.memory_info().rss) / 1e6
    except psutil.Error:
        return 0.0


def raise_descriptors() -> None:
    """As many as the system lets us have: each endpoint and each connection takes one."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
