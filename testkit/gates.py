"""Create call gates and leaving-replica tables for tests."""

from __future__ import annotations

import random
from unittest import mock

from calicopath_core.fleet.backoffs import Backoffs
from calicopath_core.fleet.brittle import BrittleReplicas
from calicopath_core.fleet.gate import CallGate
from calicopath_core.fleet.leaving import LeavingReplicas
from calicopath_core.fleet.notices import NoticeObserver
from calicopath_core.fleet.replicas import ReplicaTable
from calicopath_core.permits.client import PermitClient
from calicopath_core.permits.limits import AdvertisedLimits
from testkit.virtual import VirtualClock


def new_leaving() -> LeavingReplicas:
    """Return an empty table of leaving replicas, on virtual time."""
    return LeavingReplicas(clock=VirtualClock(), observer=mock.Mock(spec=NoticeObserver))


def new_gate(replicas: ReplicaTable | None = None) -> CallGate:
    """Return a gate without any exclusions, on virtual time."""
    leaving = new_leaving()
    observer = mock.Mock(spec=NoticeObserver)
    return CallGate(
        replicas=replicas or ReplicaTable(leaving=leaving),
        leaving=leaving,
        backoffs=Backoffs(clock=VirtualClock(), observer=observer, rng=random.Random(1)),
        limits=AdvertisedLimits(clock=VirtualClock(), observer=observer),
        permits=PermitClient(
            clock=VirtualClock(), own_address='', issuer_address=mock.Mock(), send=mock.Mock()
        ),
        brittle=BrittleReplicas(
            clock=VirtualClock(),
            rng=random.Random(1),
            position=lambda: (0, 1),
            on_changed=mock.Mock(),
        ),
        observer=observer,
        on_leaving=mock.Mock(),
        on_backoff=mock.Mock(),
    )
