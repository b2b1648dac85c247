"""Show which settings and which configuration are in force on the boxes before callers."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, NamedTuple

import aiohttp

from calicopath_cli.utils.gateways import ask_gateways
from calicopath_cli.utils.output import OutputFormat, print_json, print_table

HEADERS = (
    'box',
    'failure domain',
    'behind',
    'settings',
    'since',
    'configuration',
    'since',
    'taken out',
    'problem',
)
NO_ANSWER = 'no answer'


class GatewayRow(NamedTuple):
    """Hold what one box tells; nothing but its name if it is silent."""

    box: str
    answer: dict[str, Any] | None
    behind: str


async def gateways(address: str, output: OutputFormat) -> None:
    """Ask one box for all, each for its state, and show those that are behind first."""
    async with aiohttp.ClientSession() as session:
        answers = await ask_gateways(session, address, '/state')
    rows = judged(answers)
    if output is OutputFormat.JSON:
        print_json([row._asdict() for row in rows])
        return
    print_table(HEADERS, [cells(row) for row in rows])


def judged(answers: dict[str, dict[str, Any] | None]) -> list[GatewayRow]:
    """Return a row a box, those behind the newest settings or configuration first."""
    heard = [answer for answer in answers.values() if answer is not None]
    version = max((answer['configuration'] for answer in heard), default=0)
    newest = max(heard, key=lambda answer: float(answer['settings_since']), default=None)
    settings = newest['settings'] if newest is not None else ''
    failure_domains = newest_failure_domains(heard)
    rows = [
        GatewayRow(box, answer, behind_of(answer, version, settings, failure_domains))
        for box, answer in answers.items()
    ]
    return sorted(rows, key=lambda row: (not row.behind, row.box))


def newest_failure_domains(heard: list[dict[str, Any]]) -> frozenset[str]:
    """Return the failure domains taken out, as the box knows that has read the store last."""
    newest = max(heard, key=taken_out_at, default=None)
    return failure_domains_of(newest) if newest is not None else frozenset()


def taken_out_at(answer: dict[str, Any]) -> tuple[int, int]:
    """Return up to where in the store a box knows what is taken out; eras count first."""
    return (int(answer.get('taken_out_era', 0)), int(answer['taken_out_revision']))


def failure_domains_of(answer: dict[str, Any]) -> frozenset[str]:
    """Return the failure domains that a box holds for taken out."""
    return frozenset(item['failure_domain'] for item in answer['taken_out'])


def behind_of(
    answer: dict[str, Any] | None, version: int, settings: str, failure_domains: frozenset[str]
) -> str:
    """Return in what a box is behind, nothing if it is not."""
    if answer is None:
        return NO_ANSWER
    found = []
    if answer['problem'] or answer['settings'] != settings:
        found.append('settings')
    if answer['configuration'] < version:
        found.append('configuration')
    if failure_domains_of(answer) != failure_domains:
        found.append('failure domains taken out')
    return ', '.join(found)


def cells(row: GatewayRow) -> tuple[Any, ...]:
    """Return a row as it is shown."""
    if row.answer is None:
        return (row.box, '', row.behind, '', '', '', '', '', '')
    answer = row.answer
    return (
        row.box,
        answer['failure_domain'],
        row.behind or 'no',
        answer['settings'],
        moment(answer['settings_since']),
        answer['configuration'],
        moment(answer['configuration_since']),
        '; '.join(taken_out(item) for item in answer['taken_out']),
        answer['problem'].splitlines()[0] if answer['problem'] else '',
    )


def taken_out(item: dict[str, Any]) -> str:
    """Return a failure domain that is taken out as it is shown."""
    return f'{item["failure_domain"]} since {moment(item["since"])} (r{item["revision"]})'


def moment(since: float) -> str:
    """Return a point in time as people read it, in UTC."""
    return datetime.fromtimestamp(since, UTC).strftime('%Y-%m-%d %H:%M:%S') if since else ''
