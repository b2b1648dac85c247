"""Ask the boxes before callers, which any one of them lists."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_cli.exceptions import CommandError
from calicopath_cli.utils.inforce import MAX_PARALLEL, ask_box

if TYPE_CHECKING:
    from collections.abc import Iterable

    import aiohttp


async def ask_gateways(
    session: aiohttp.ClientSession, address: str, path: str
) -> dict[str, Any | None]:
    """Return each box's answer by its name, nothing for one that is silent."""
    listed = await ask_box(session, address, '/boxes')
    if listed is None:
        raise CommandError(f'{address}: no box of calicopath answers there')
    slots = asyncio.Semaphore(MAX_PARALLEL)

    async def ask(item: dict[str, str]) -> Any:
        async with slots:
            return await ask_box(session, item['address'], path)

    answers = await asyncio.gather(*(ask(item) for item in listed))
    return {item['box']: answer for item, answer in zip(listed, answers, strict=True)}


class Grouped(NamedTuple):
    """Hold what boxes have told by what it is about, and how many boxes have answered."""

    items: dict[tuple[str, ...], list[dict[str, Any]]]
    asked: int


def grouped(answers: Iterable[list[dict[str, Any]] | None], *fields: str) -> Grouped:
    """Join the lists that boxes answered with, by the fields that say what an item is about."""
    heard = [answer for answer in answers if answer is not None]
    found: dict[tuple[str, ...], list[dict[str, Any]]] = {}
    for item in itertools.chain.from_iterable(heard):
        found.setdefault(tuple(item[field] for field in fields), []).append(item)
    return Grouped(found, len(heard))
