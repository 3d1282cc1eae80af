"""The scale run: starts all parts of a fleet, plays the plan and judges the result."""

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
from fleetlab.hollow import HOLLOW_LISTENER, HollowProcesses
from fleetlab.ledger import Ledger, Rule
from fleetlab.realrelays import RealRelay, settle_memory
from fleetlab.result import Figure, Result

log = logging.getLogger(__name__)

START_DELAY = 0.5  # seconds from the readiness of all parts to the first message
HOLLOW_RATE_PER_PROCESS = 250.0  # messages a second that one process of hollow relays can carry
MAX_HOLLOW_PROCESSES = 4
MAX_MEMORY_MB = 12_000  # of all processes together
MAX_PROCESSES = 300
SAMPLE_INTERVAL = 1.0  # seconds
# Seconds after its deadline and the settle time at which a message is judged during the run.
SWEEP_DELAY = 15.0
PLAIN_PROGRESS_INTERVAL = 5.0  # seconds between progress lines without a terminal
SHUTDOWN_TIMEOUT = 30.0  # seconds for closing all servers


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a run that are not part of its plan."""

    command: str  # starts a real relay
    logs: Path | None = None  # folder in which the relays' logs are kept
    judge_time: bool = False
    quiet: bool = False


class ScaleRun:
    """One run. ``play`` can be called once."""

    def __init__(self, plan: Plan, options: Options) -> None:
        self.plan = plan
        self.options = options
        self.fleet = Fleet(plan)
        self.ledger = Ledger()
        self.failure_reasons: list[str] = []
        self.interrupted = False
        self.traffic_began_at = 0.0
        self.memory_mb = 0.0  # peak of all processes together
        self.processes = 0
        self.changes = 0
        self.outages = 0
        self.agent = Agent([])
        self.endpoints = Endpoints(self.ledger, [])
        self.relays: list[RealRelay] = []
        self.hollow_processes = HollowProcesses(plan, hollow_process_count(plan))
        self.clients = Clients(self.fleet, self.ledger, [], time.monotonic)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._run_task: asyncio.Task[Any] | None = None

    async def play(self) -> Result:
        """Play the plan. Return the result, also of a failed run, after all started processes have ended."""
        machine, started = result.machine(), result.utc_now()
        raise_descriptor_limit()
        loop = asyncio.get_running_loop()
        run_task = self._run_task = asyncio.current_task()
        assert run_task is not None
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, run_task.cancel)
        with tempfile.TemporaryDirectory(prefix="fleetlab-") as folder:
            try:
                await self._play(self.options.logs or Path(folder))
            except asyncio.CancelledError:
                if not self.failure_reasons:
                    self.interrupted = True
                    self.failure_reasons.append("interrupted")
            except (OSError, TimeoutError) as error:
                self.failure_reasons.append(f"not completed: {error or type(error).__name__}")
            finally:
                for signal_number in (signal.SIGINT, signal.SIGTERM):
                    loop.remove_signal_handler(signal_number)
                await self._stop_all()
        return self._result(machine, started)

    async def _play(self, folder: Path) -> None:
        fleet, plan = self.fleet, self.plan
        self.endpoints = Endpoints(
            self.ledger, fleet.seeds("endpoints", len(fleet.drawn)), self._last_status_sent
        )
        for destination in fleet.drawn:
            await self.endpoints.open(destination)
        addresses = self.endpoints.addresses
        self.agent = Agent(
            fleet.lines(addresses),
            on_notice=self._on_notice,
            call_time=plan.discovery_call,
            history=plan.history,
        )
        known_list = json.loads(self.agent.snapshot())
        for n in range(plan.relays):
            relay = self._make_relay(f"n{n}", folder / f"n{n}")
            self.relays.append(relay)
            discovery_address = await self.agent.listen(relay.name)
            relay.configure(
                fleet.config(
                    relay.name,
                    f"127.0.0.1:{relay.pool.port}",
                    discovery_address,
                    known_list,
                    f"{plan.seed}-{n}",
                    n % len(fleet.zone_names),
                )
            )
        hollow_agent_address = await self.agent.listen(HOLLOW_LISTENER)
        await asyncio.gather(
            *(relay.start() for relay in self.relays),
            self.hollow_processes.start(
                hollow_agent_address, self.agent.index, addresses, folder / "hollow.log"
            ),
        )
        self.clients = Clients(fleet, self.ledger, [relay.pool for relay in self.relays], time.monotonic)
        del known_list
        settle_memory()
        self.traffic_began_at = time.monotonic() + START_DELAY
        self.hollow_processes.begin(self.traffic_began_at)
        self._spawn(self._sample())
        self._spawn(self._show_progress())
        for outage in fleet.outages:
            self._spawn(self._outage(outage))
        for change in fleet.changes:
            self._spawn(self._change(change))
        for n in range(plan.relays):
            self._spawn(self._restarts(n))
        if plan.discovery_down:
            self._spawn(self._discovery_outage())
        await asyncio.sleep(max(0.0, self.traffic_began_at - time.monotonic()))
        await self.clients.play(self.traffic_began_at + plan.length)
        await self._settle()

    def _make_relay(self, name: str, folder: Path) -> RealRelay:
        return RealRelay(name, folder, self.options.command)

    async def _settle(self) -> None:
        """Wait until all accepted messages have ended, at most for the deadline and the settle time."""
        settle_by = time.monotonic() + self.plan.deadline + self.plan.settle
        while time.monotonic() < settle_by and (self.ledger.open_messages or self.clients.tasks):
            await asyncio.sleep(0.05)

    async def _stop_all(self) -> None:
        """End every task, relay, hollow process and server of the run."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.clients.finish()
        for relay in self.relays:
            relay.sample()
        exit_statuses = await asyncio.gather(*(relay.stop() for relay in self.relays))
        for relay, exit_status in zip(self.relays, exit_statuses, strict=True):
            if exit_status and not relay.crash_reports:
                relay.crash_reports.append(
                    f"{relay.name} exited with status {exit_status} on SIGTERM: {relay.last_log_line()}"
                )
        if not await self.hollow_processes.stop():
            self.failure_reasons.append("a process of hollow relays failed or did not exit in time")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_TIMEOUT):
                await self.agent.close()
                await self.endpoints.close()
        self.ledger.check_expired(math.inf)

    # ---- outages, changes and restarts

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failure_reasons.append(f"{type(error).__name__}: {error}")

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.traffic_began_at + at - time.monotonic()))

    async def _outage(self, outage: Outage) -> None:
        await self._sleep_until(outage.at)
        self.outages += 1
        self.endpoints.begin_outage(
            outage.destination, outage.kind, self.traffic_began_at + outage.at + outage.length
        )
        await self._sleep_until(outage.at + outage.length)
        await self.endpoints.recover(outage.destination, time.monotonic())

    async def _discovery_outage(self) -> None:
        await self._sleep_until(self.plan.length / 2)
        self.agent.suspend()
        await asyncio.sleep(self.plan.discovery_down)
        self.agent.resume()

    async def _change(self, change: Change) -> None:
        await self._sleep_until(change.at)
        self.changes += 1
        destination = self.fleet.destinations[change.destination]
        is_served = destination.number in self.endpoints.stand_ins
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
        old_endpoint = destination.endpoints[position]
        new_endpoint = replace(
            old_endpoint,
            name=f"{old_endpoint.name[:10]}-{self.changes}",
            since_ms=time.time_ns() // 1_000_000,
        )
        address = await self.endpoints.add(new_endpoint) if is_served else self._address(old_endpoint)
        destination.endpoints[position] = new_endpoint
        self.agent.publish(
            [
                list_line(new_endpoint, destination, address),
                list_line(old_endpoint, destination, self._address(old_endpoint), "Terminating"),
            ]
        )
        await asyncio.sleep(DRAIN_TIME)
        self.agent.publish([list_line(old_endpoint, destination, self._address(old_endpoint), "Gone")])
        self.endpoints.remove(old_endpoint.name)

    def _address(self, endpoint: Endpoint) -> str:
        """Return the endpoint's address in the endpoint list."""
        line = self.agent.entries.get(endpoint.name)
        return str(json.loads(line)["address"]) if line is not None else "127.0.0.1:9"

    async def _restarts(self, number: int) -> None:
        """Run the planned restarts of one real relay, one after the other."""
        for restart in self.fleet.restarts:
            if not restart.hollow and restart.relay == number:
                await self._restart(restart)

    async def _restart(self, restart: Restart) -> None:
        await self._sleep_until(restart.at)
        relay = self.relays[restart.relay]
        if not relay.crash_reports:
            self.ledger.relay_restarting(relay.name)
            self.endpoints.forget_waits(relay.name)
            await relay.restart(restart.killed)
            self.endpoints.forget_waits(relay.name)
            self.ledger.relay_ready(relay.name, time.monotonic())

    def _last_status_sent(self, relay: str, endpoint: str) -> tuple[str, float] | None:
        """Return the endpoint's status that discovery last sent to the relay, and the time."""
        sent = self.agent.stats.get(relay)
        return None if sent is None else sent.statuses.get(endpoint)

    def _on_notice(self, message_id: str, ending: str, wait_ms: int) -> None:
        self.ledger.record_notice(message_id, ending, wait_ms, time.monotonic())

    # ---- measurement and progress

    async def _sample(self) -> None:
        own_process = psutil.Process()
        while True:
            for relay in self.relays:
                relay.sample()
            with contextlib.suppress(psutil.Error):
                all_processes = [own_process, *own_process.children(recursive=True)]
                self.processes = max(self.processes, len(all_processes))
                self.memory_mb = max(self.memory_mb, sum(resident_mb(process) for process in all_processes))
            if self.memory_mb > MAX_MEMORY_MB or self.processes > MAX_PROCESSES:
                self.failure_reasons.append(
                    f"stopped: {self.memory_mb:.0f} MB in {self.processes} processes exceed the limit"
                )
                if self._run_task is not None:
                    self._run_task.cancel()
                return
            self.ledger.check_expired(time.monotonic() - self.plan.settle - SWEEP_DELAY)
            await asyncio.sleep(SAMPLE_INTERVAL)

    def _progress_line(self) -> str:
        counts, hollow = self.ledger.counts, self.hollow_processes
        violations = sum(self.ledger.broken.values())
        return (
            f"delivered {counts.delivered} of {counts.offered}, open {self.ledger.open_messages}, "
            f"refused {counts.refused}, hollow {hollow.total('delivered')} of {hollow.total('offered')}, "
            f"changes {self.changes}, outages {self.outages}, "
            f"restarts {sum(relay.starts - 1 for relay in self.relays)}+{hollow.total('restarts')}, "
            f"rules broken {violations}"
        )

    async def _show_progress(self) -> None:
        console = Console(stderr=True)
        if self.options.quiet:
            return
        if not console.is_terminal:
            while True:
                await asyncio.sleep(PLAIN_PROGRESS_INTERVAL)
                print(
                    f"fleetlab: {max(0.0, time.monotonic() - self.traffic_began_at):.0f} s "
                    f"of {self.plan.length:g}: "
                    f"{self._progress_line()}",
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
                    completed=min(self.plan.length, max(0.0, time.monotonic() - self.traffic_began_at)),
                    description=self._progress_line(),
                )
                await asyncio.sleep(0.25)

    # ---- result

    def _result(self, machine: dict[str, Any], started: str) -> Result:
        ledger, options = self.ledger, self.options
        crash_reports = [line for relay in self.relays for line in relay.crash_reports]
        if self.agent.unreadable_notices:
            ledger.broken[Rule.UNREADABLE] = self.agent.unreadable_notices
        self.failure_reasons += [f"crashed: {line}" for line in crash_reports]
        unanswered = sum(relay.pool.unanswered for relay in self.relays)
        if unanswered:
            self.failure_reasons.append(f"{unanswered} new connections were closed without an answer")
        self.failure_reasons += [
            f"{count} times {rule.value}"
            for rule, count in sorted(ledger.broken.items(), key=lambda item: item[0].name)
        ]
        if options.judge_time:
            self.failure_reasons += [
                f"{count} times {timed.value}"
                for timed, count in sorted(ledger.timed.items(), key=lambda item: item[0].name)
            ]
        if not ledger.counts.delivered:
            self.failure_reasons.append("no message was delivered")
        commit, changed = result.git_state(Path(__file__).parent.parent)
        return Result(
            passed=not self.failure_reasons,
            why_not=self.failure_reasons,
            seed=self.plan.seed,
            commit=commit,
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
            relays={relay.name: self._relay_figures(relay) for relay in self.relays},
        )

    def _figures(self) -> dict[str, Figure]:
        counts, plan = self.ledger.counts, self.plan
        verdicts = total_verdicts(self.endpoints.stand_ins)
        figures = result.count_figures(asdict(counts), "messages")
        figures["attempts"] = Figure(value=counts.attempts, unit="calls")
        for name in ("handed_in", "taken", "refused", "abandoned", "failed", "dead", "bounced"):
            figures[name] = Figure(value=getattr(counts, name), unit="hand-ins")
        figures["delivered_share"] = ratio(counts.delivered, counts.offered)
        figures["in_time_share"] = ratio(counts.in_time, counts.offered)
        figures["offered_rate"] = Figure(value=round(counts.offered / plan.length, 2), unit="messages/s")
        figures |= result.quantiles("delivery", self.ledger.delivery_latency)
        figures |= result.quantiles("answer", self.ledger.answer_latency)
        figures |= result.quantiles("hand_in_lateness", self.clients.lateness)
        figures |= result.count_figures(
            {f"calls_{verdict.value}": verdicts[verdict] for verdict in Verdict}, "calls"
        )
        by_relay = sum(
            (stand_in.calls_by_relay for stand_in in self.endpoints.stand_ins.values()), Counter[str]()
        )
        figures["calls_real"] = Figure(value=sum(by_relay[relay.name] for relay in self.relays), unit="calls")
        figures["calls_hollow"] = Figure(
            value=sum(count for name, count in by_relay.items() if name.startswith("h")), unit="calls"
        )
        figures["calls_unheard"] = Figure(value=self.endpoints.unread_responses, unit="calls")
        figures["probes"] = Figure(value=self.endpoints.probes, unit="probes")
        figures["fallen"] = Figure(
            value=sum(stand_in.overloaded for stand_in in self.endpoints.stand_ins.values()),
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
        hollow, plan = self.hollow_processes, self.plan
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
            value=sum(int(report.get("held", 0)) for report in hollow.latest_reports), unit="messages"
        )
        delivery, lateness = (HdrHistogram(1, 3_600_000_000, 3) for _ in range(2))
        update_delays: list[float] = []
        max_delays: dict[int, float] = {}
        for report in hollow.latest_reports:
            if "delivery" in report:
                delivery.decode_and_add(report["delivery"])
                lateness.decode_and_add(report["lateness"])
            for version, update_times in report.get("heard", {}).items():
                published_at = self.agent.published_at.get(int(version), math.inf)
                version_delays = [
                    received_at - published_at
                    for received_at, process_started_at in update_times
                    if process_started_at < published_at < math.inf
                ]
                update_delays += version_delays
                if version_delays:
                    max_delays[int(version)] = max(max_delays.get(int(version), 0.0), *version_delays)
        figures |= result.quantiles("hollow_delivery", delivery)
        figures |= result.quantiles("hollow_lateness", lateness)
        figures |= result.median_and_max("change_told", update_delays, "s")
        figures |= result.median_and_max("change_told_everywhere", max_delays.values(), "s")
        if plan.hollow:
            per_relay = hollow.total("control_bytes") / plan.hollow / plan.length
            figures["hollow_control"] = Figure(value=round(per_relay, 2), unit="bytes/s each")
        return figures

    def _relay_figures(self, relay: RealRelay) -> dict[str, Figure]:
        usage, discovery_record = relay.usage, self.agent.stats.get(relay.name)
        figures = {
            "starts": Figure(value=relay.starts, unit="starts"),
            "cpu": Figure(value=round(usage.cpu_seconds, 3), unit="s"),
            "cpu_busiest": Figure(value=round(usage.peak_cores, 3), unit="cores"),
            "memory": Figure(value=round(usage.peak_memory_mb, 1), unit="MB"),
            "memory_limit": Figure(value=self.plan.memory_mb, unit="MB"),
            "descriptors": Figure(value=usage.peak_descriptors, unit="descriptors"),
            "disk": Figure(value=round(usage.peak_disk_mb, 3), unit="MB"),
            "connections_from_clients": Figure(value=relay.pool.connections, unit="connections"),
        }
        if discovery_record is not None:
            figures |= {
                "watches": Figure(value=discovery_record.watches, unit="watches"),
                "whole_lists": Figure(value=discovery_record.snapshots, unit="lists"),
                "control": Figure(value=round(discovery_record.bytes / self.plan.length, 2), unit="bytes/s"),
                "notices": Figure(value=discovery_record.notices, unit="notices"),
            }
        return figures | result.median_and_max("ready", relay.ready_times, "s")


def hollow_process_count(plan: Plan) -> int:
    """Return the number of processes that the hollow relays share."""
    load = plan.hollow * max(plan.hollow_rate, 1.0)  # watching the endpoint list costs CPU time as well
    return min(MAX_HOLLOW_PROCESSES, max(1, math.ceil(load / HOLLOW_RATE_PER_PROCESS)))


def ratio(count: int, total: int) -> Figure:
    return Figure(value=round(count / total, 4) if total else None, unit="1")


def resident_mb(process: psutil.Process) -> float:
    try:
        return float(process.memory_info().rss) / 1e6
    except psutil.Error:
        return 0.0


def raise_descriptor_limit() -> None:
    """Raise the limit of descriptors to the hard limit: each endpoint and each connection takes one."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
