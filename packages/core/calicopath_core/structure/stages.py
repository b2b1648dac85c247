"""Define stages, templates, pipelines and the plans made from them."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

ParameterValue = str | int | float | bool


class StageKind(enum.StrEnum):
    """Name the kind of work that a stage's endpoints do."""

    ENCODER = 'encoder'
    RETRIEVER = 'retriever'
    RERANKER = 'reranker'
    ENGINE = 'engine'
    SERVICE = 'service'


class ParameterType(enum.StrEnum):
    """Name the type of a template's parameter."""

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

    `expected_ms` is the stage's duration when unloaded. `params` may contain `${name}` references
    to the template's parameters.
    """

    name: str
    kind: StageKind
    service: str
    expected_ms: int
    params: dict[str, Any]
    repeatable: bool = True


class Template(NamedTuple):
    """Declare the stages that a pipeline runs, in order."""

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
    """Hold a stage whose parameters have been substituted."""

    name: str
    kind: StageKind
    service: str
    expected_s: float
    params: dict[str, Any]
    repeatable: bool


class Plan(NamedTuple):
    """Hold the resolved configuration of a pipeline; a request keeps its plan until it ends.

    `digest` identifies template, parameters, deadline and priority. Equal digests mean that two
    boxes, or the old and new system of a migration, serve the pipeline in the same way.
    """

    workspace: str
    pipeline: str
    stages: tuple[StagePlan, ...]
    deadline_s: float
    priority: int
    digest: str

    @property
    def repeatable(self) -> bool:
        """Return whether every stage may be run again."""
        return all(stage.repeatable for stage in self.stages)
