"""Query the boxes for the versions in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec

from calicopath_cli.exceptions import NotInForce

if TYPE_CHECKING:
    from calicopath_cli.utils.operator import Operator
    from calicopath_core.store.base import BoxRecord
    from calicopath_core.store.changes import Accepted

POLL_S = 0.1
BOX_TIMEOUT_S = 2.0
MAX_PARALLEL_REQUESTS = 64


class InForce(NamedTuple):
    """Hold on how many of the live boxes a change is in force, and which sent no response."""

    key: str
    version: int
    boxes: int
    in_force: int
    silent: tuple[str, ...]


async def query_box(session: aiohttp.ClientSession, address: str, path: str) -> Any:
    """Return the decoded JSON response of a box, `None` if it sends no valid one in time."""
    timeout = aiohttp.ClientTimeout(total=BOX_TIMEOUT_S)
    try:
        async with session.get(f'http://{address}{path}', timeout=timeout) as answer:
            return msgspec.json.decode(await answer.read())
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return None


async def query_boxes(operator: Operator, path: str) -> dict[str, Any]:
    """Return the response of each box that is not leaving by name, `None` if it sent none."""
    boxes = [box for box in await operator.boxes.boxes() if not box.leaving]
    slots = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

    async def query(box: BoxRecord) -> Any:
        async with slots:
            return await query_box(operator.session, box.address, path)

    answers = await asyncio.gather(*(query(box) for box in boxes))
    return {box.name: answer for box, answer in zip(boxes, answers, strict=True)}


async def count_in_force(operator: Operator, key: str, version: int) -> InForce:
    """Count the boxes on which at least `version` of `key` is in force."""
    answers = await query_boxes(operator, f'/admin/v1/config/{key}')
    silent = tuple(name for name, answer in answers.items() if answer is None)
    count = sum(
        1 for answer in answers.values() if answer is not None and answer['version'] >= version
    )
    return InForce(key, version, len(answers), count, silent)


async def wait_until_in_force(operator: Operator, accepted: Accepted, wait_s: float) -> InForce:
    """Wait until a change is in force on all live boxes; raise `NotInForce` after `wait_s`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        counted = await count_in_force(operator, accepted.key, accepted.version)
        if counted.boxes and counted.in_force == counted.boxes:
            return counted
        if loop.time() >= deadline:
            silent = f'; no answer from {", ".join(counted.silent)}' if counted.silent else ''
            raise NotInForce(
                f'{counted.key}: accepted as version {counted.version}, in force on '
                f'{counted.in_force} of {counted.boxes} boxes{silent}'
            )
        await asyncio.sleep(POLL_S)
