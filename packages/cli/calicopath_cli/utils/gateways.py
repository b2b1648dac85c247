"""Query the boxes that run the HTTP gateway; any of them lists all."""

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
    """Return the response of each box by name, `None` if it sent none.

    Raise `CommandError` if the box at `address` does not return the list of boxes.
    """
    listed = await query_box(session, address, '/boxes')
    if listed is None:
        raise CommandError(f'{address}: no response from a calicopath box')
    slots = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

    async def query(item: dict[str, str]) -> Any:
        async with slots:
            return await query_box(session, item['address'], path)

    answers = await asyncio.gather(*(query(item) for item in listed))
    return {item['box']: answer for item, answer in zip(listed, answers, strict=True)}


class GroupedItems(NamedTuple):
    """Hold the items of all boxes by their key fields, and the number of boxes that responded."""

    items: dict[tuple[str, ...], list[dict[str, Any]]]
    answered_boxes: int


def group_items(answers: Iterable[list[dict[str, Any]] | None], *fields: str) -> GroupedItems:
    """Group the items that boxes returned by the values of `fields`."""
    answered = [answer for answer in answers if answer is not None]
    groups: dict[tuple[str, ...], list[dict[str, Any]]] = {}
    for item in itertools.chain.from_iterable(answered):
        groups.setdefault(tuple(item[field] for field in fields), []).append(item)
    return GroupedItems(groups, len(answered))
