"""Hold the configuration that is in force on one box."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from returns.result import Failure, Result, Success

from calicopath_core.config.parsers import parse_endpoint, parse_pipeline, parse_template
from calicopath_core.config.plans import resolve_plan
from calicopath_core.config.problems import Problem
from calicopath_core.structure.keys import (
    ENDPOINT_PREFIX,
    PIPELINE_PREFIX,
    TEMPLATE_PREFIX,
    pipeline_key,
    template_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from calicopath_core.structure.endpoints import Endpoint
    from calicopath_core.structure.stages import PipelineSpec, Plan, Template

DIGEST_BYTES = 8

T = TypeVar('T')


class ViewEntry(NamedTuple):
    """Hold the version and content of one object; `spec` is `None` for a tombstone."""

    version: int
    spec: dict[str, Any] | None


class ViewUpdate(NamedTuple):
    """Hold one object on its way between boxes or from the store to a box.

    `spec` is `None` for a tombstone.
    """

    key: str
    version: int
    spec: dict[str, Any] | None


class PlanVersions(NamedTuple):
    """Hold the versions that a resolved plan was made from, as its cache key."""

    pipeline_version: int
    template_version: int


def entry_hash(key: str, version: int) -> int:
    """Return the contribution of an entry to the digest of a view."""
    digest = hashlib.blake2b(f'{key}@{version}'.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


class ConfigView:
    """Hold the newest known version of each object; older updates are ignored.

    Tombstones are kept, so that an old copy cannot restore a deleted object. Two views with equal
    digests hold the same versions of the same keys.
    """

    def __init__(self) -> None:
        self.entries: dict[str, ViewEntry] = {}
        self.digest = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.templates: dict[str, Template] = {}
        self.pipelines: dict[str, PipelineSpec] = {}
        self.problems: dict[str, list[Problem]] = {}
        self.plans: dict[str, tuple[PlanVersions, Result[Plan, list[Problem]]]] = {}
        self.listeners: list[Callable[[list[ViewUpdate]], None]] = []

    def version(self, key: str) -> int:
        """Return the version held of `key`, or 0 if there is none."""
        entry = self.entries.get(key)
        return entry.version if entry else 0

    def apply(self, update: ViewUpdate) -> bool:
        """Apply an update if it is newer than the held version; return whether it was."""
        return self.apply_all([update]) == 1

    def apply_all(self, updates: Iterable[ViewUpdate]) -> int:
        """Apply the newer updates, notify the listeners once, and return how many were newer."""
        newer = [update for update in updates if self.apply_one(update)]
        if newer:
            for listener in self.listeners:
                listener(newer)
        return len(newer)

    def apply_one(self, update: ViewUpdate) -> bool:
        """Store one object if it is newer, without notifying listeners; return whether it was."""
        held_version = self.version(update.key)
        if update.version <= held_version:
            return False
        if held_version:
            self.digest ^= entry_hash(update.key, held_version)
        self.digest ^= entry_hash(update.key, update.version)
        self.entries[update.key] = ViewEntry(update.version, update.spec)
        self.update_parsed(update.key, update.spec)
        return True

    def update_parsed(self, key: str, spec: dict[str, Any] | None) -> None:
        """Update the parsed form of an object; an object that does not parse counts as absent."""
        self.problems.pop(key, None)
        if key.startswith(ENDPOINT_PREFIX):
            self.store_parsed(self.endpoints, key, spec, parse_endpoint)
        elif key.startswith(TEMPLATE_PREFIX):
            self.store_parsed(self.templates, key, spec, parse_template)
        elif key.startswith(PIPELINE_PREFIX):
            self.plans.pop(key, None)
            self.store_parsed(self.pipelines, key, spec, parse_pipeline)

    def store_parsed(
        self,
        table: dict[str, T],
        key: str,
        spec: dict[str, Any] | None,
        parser: Callable[[Any, str], Result[T, list[Problem]]],
    ) -> None:
        """Store a parsed object in its table; remove it if it is deleted or does not parse."""
        table.pop(key, None)
        if spec is None:
            return
        result = parser(spec, key)
        if isinstance(result, Success):
            table[key] = result.unwrap()
        else:
            self.problems[key] = result.failure()

    def plan(self, workspace: str, name: str) -> Result[Plan, list[Problem]] | None:
        """Return the plan of a pipeline, its problems, or `None` if the pipeline is unknown."""
        key = pipeline_key(workspace, name)
        spec = self.pipelines.get(key)
        if spec is None:
            return None
        versions = PlanVersions(self.version(key), self.version(template_key(spec.template)))
        cached = self.plans.get(key)
        if cached and cached[0] == versions:
            return cached[1]
        result = self.make_plan(key, spec)
        self.plans[key] = (versions, result)
        return result

    def make_plan(self, key: str, spec: PipelineSpec) -> Result[Plan, list[Problem]]:
        """Resolve the template that a pipeline refers to."""
        template = self.templates.get(template_key(spec.template))
        if template is None:
            return Failure([Problem(key, 'template', f'unknown template {spec.template!r}')])
        return resolve_plan(spec, template, key)

    def knows_workspace(self, workspace: str) -> bool:
        """Return whether any pipeline belongs to `workspace`."""
        return any(spec.workspace == workspace for spec in self.pipelines.values())
