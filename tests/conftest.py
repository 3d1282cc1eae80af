"""Fixtures: a relay with its endpoint and platform, and a relay process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from tests.processes import Process
from tests.sockets import Field


@pytest_asyncio.fixture
async def field(tmp_path: Path) -> AsyncIterator[Field]:
    created = Field(tmp_path)
    await created.prepare()
    yield created
    await created.stop()


@pytest_asyncio.fixture
async def process(field: Field) -> AsyncIterator[Process]:
    created = Process(field)
    yield created
    if created.child is not None and created.child.returncode is None:
        await created.stop(signal.SIGKILL)
