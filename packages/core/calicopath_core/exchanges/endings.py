"""Decide whether an answer that ended with its connection is whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from calicopath_core.backends.base import ConnectionBroken

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext
    from calicopath_core.exchanges.messages import ReplicaAnswer
    from calicopath_core.fleet.replicas import Replica

END_WATCH_S = 0.05
"""How long a replica is watched after the end of an answer."""


async def check_whole(
    context: ExchangeContext, replica: Replica, answer: ReplicaAnswer, *, repeatable: bool
) -> None:
    """Raise `ConnectionBroken` unless an answer that ended with its connection is proved whole.

    The kernel closes the connections of a crashed replica, which looks like the end of an answer
    that has neither a length nor chunks. One that leaves closes them too, after its answers, or in
    the midst of one: an answer that is `repeatable` is then asked for elsewhere, and goes on there
    if something is missing.
    """
    if not answer.ends_with_connection or not answer.head.success:
        return
    # What is known of its leaving now was known before it closed the connection.
    has_left = context.replicas.is_leaving(replica) or has_lost_entry(context, replica)
    runs = await answer.sender_runs(END_WATCH_S)
    if runs is None and not has_left:
        runs = await context.replica_client.identify(replica, health_path_of(context, replica))
    if not runs and (repeatable or not has_left):
        raise ConnectionBroken(f'{replica.id} is not seen to run after its answer')


def health_path_of(context: ExchangeContext, replica: Replica) -> str | None:
    """Return the path of a plain replica's health answer, `None` for an engine."""
    deployment = context.view.current
    spec = deployment.services.get(replica.service) if deployment is not None else None
    return spec.health_path if spec is not None and spec.engine is None else None


def has_lost_entry(context: ExchangeContext, replica: Replica) -> bool:
    """Tell whether a replica left without notice: its entry went while it still answered.

    The entry of a crashed replica goes only after its connections have broken.
    """
    return replica.id not in context.replicas.replicas
