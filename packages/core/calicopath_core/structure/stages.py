"""Describe stages, templates and a workspace's pipelines."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

ParameterValue = str | int | float | bool


class StageKind(enum.StrEnum):
    """Name what a stage's endpoints do."""

    ENCODER = 'encoder'
    RETRIEVER = 'retriever'
    RERANKER = 'reranker'
    ENGINE = 'engine'
    SERVICE = 'service'


class ParameterType(enum.StrEnum):
    """Name the type that a template's parameter takes."""

    STRING = 'string'
    INTEGER = 'integer'
    NUMBER = 'number'
    BOOLEAN = 'boolean'


class Parameter(NamedTuple):
    """Declare one parameter of a template."""

    name: str
    type: ParameterType
    default: ParameterValue | None = None
    required: bool = True
    doc: str = ''


class StageTemplate(NamedTuple):
    """Declare one stage of a template.

    `expected_ms` is what the stage takes when unloaded; `min_ms` is the least it can do with.
    `params` may hold `${name}` references to the template's parameters.
    """

    name: str
    kind: StageKind
    service: str
    expected_ms: int
    params: dict[str, Any]
    repeatable: bool = True


class Template(NamedTuple):
    """Declare the stages, in order, that a pipeline runs."""

    name: str
    parameters: tuple[Parameter, ...]
    stages: tuple[StageTemplate, ...]


class PipelineSpec(NamedTuple):
    """Declare a workspace's pipeline: a template and its parameters."""

    workspace: str
    name: str
    template: str
    parameters: dict[str, ParameterValue]
    deadline_ms: int
    priority: int


class StagePlan(NamedTuple):
    """Hold a stage with every parameter filled in."""

    name: str
    kind: StageKind
    service: str
    expected_s: float
    params: dict[str, Any]
    repeatable: bool


class Plan(NamedTuple):
    """Hold everything that one request needs; a request keeps its plan for its whole life.

    `digest` identifies template, parameters, deadline and priority: equal digests mean that
    two boxes, or two sides of a migration, serve the pipeline the same way.
    """

    workspace: str
    pipeline: str
    stages: tuple[StagePlan, ...]
    deadline_s: float
    priority: int
    digest: str

    @property
    def repeatable(self) -> bool:
        """Tell whether every stage may be run again."""
        return all(stage.repeatable for stage in self.stages)
