"""Ask the boxes before callers, which any one of them lists."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

from calicopath_cli.exceptions import CommandError
from calicopath_cli.utils.inforce import MAX_PARALLEL_REQUESTS, query_box

if TYPE_CHECKING:
    from collections.abc import Iterable

    import aiohttp


async def query_gateways(
    session: aiohttp.ClientSession, address: str, path: str
) -> dict[str, Any | None]:
    """Return each box's answer by its name, nothing for one that is silent."""
    listed = await query_box(session, address, '/boxes')
    if listed is None:
        raise CommandError(f'{address}: no box of calicopath answers there')
    slots = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

    async def query(item: dict[str, str]) -> Any:
        async with slots:
            return await query_box(session, item['address'], path)

    answers = await asyncio.gather(*(query(item) for item in listed))
    return {item['box']: answer for item, answer in zip(listed, answers, strict=True)}


class GroupedItems(NamedTuple):
    """Hold what boxes have told by what it is about, and how many boxes have answered."""

    items: dict[tuple[str, ...], list[dict[str, Any]]]
    answered_boxes: int


def group_items(answers: Iterable[list[dict[str, Any]] | None], *fields: str) -> GroupedItems:
    """Join the lists that boxes answered with, by the fields that say what an item is about."""
    answered = [answer for answer in answers if answer is not None]
    groups: dict[tuple[str, ...], list[dict[str, Any]]] = {}
    for item in itertools.chain.from_iterable(answered):
        groups.setdefault(tuple(item[field] for field in fields), []).append(item)
    return GroupedItems(groups, len(answered))
