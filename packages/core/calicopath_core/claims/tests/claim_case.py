"""Create keys and registries for the tests of claims."""

from __future__ import annotations

import itertools
from typing import Any

from calicopath_core.claims.executors import GroupId, GroupingConfig, LocalExecutor
from calicopath_core.claims.keys import ClaimKey, parse_key
from calicopath_core.claims.registry import ClaimRegistry
from testkit.fake_store import FakeStore, StoreState
from testkit.virtual import WALL_START_S, VirtualClock
from testkit.world import uuid7


def key(number: int = 0, made_s: float = WALL_START_S) -> ClaimKey:
    """Return a parsed key created at `made_s`, in seconds since 1970."""
    return parse_key('towpath', 'act', uuid7(made_s, number), made_s)


def new_registry(state: StoreState, box: str = 'a', **grouping: float) -> ClaimRegistry:
    """Return one box's registry, with a single shard."""
    numbers = itertools.count()
    local = LocalExecutor(
        store=FakeStore(state=state),
        clock=VirtualClock(),
        grouping=GroupingConfig(shards=1, **grouping),  # type: ignore[arg-type]
    )
    return ClaimRegistry(local=local, executor=local, new_nonce=lambda: f'{box}{next(numbers)}')


def link(registry: ClaimRegistry) -> FakeStore:
    """Return the fake store of a registry."""
    store = registry.local.store
    assert isinstance(store, FakeStore)
    return store


def group_value(state: StoreState, claim_key: ClaimKey) -> dict[str, Any]:
    """Return the stored value of the group that holds a key."""
    group = GroupId(0, claim_key.time_ms // GroupingConfig().slot_ms)
    return state.objects[group.key].value
