"""Resolve a template with the parameters of a pipeline into a plan."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success

from calicopath_core.config.parsers import PARAMETER_REFERENCE, has_type
from calicopath_core.config.problems import Problem, ProblemList
from calicopath_core.structure.stages import Plan, StagePlan

if TYPE_CHECKING:
    from calicopath_core.structure.stages import (
        ParameterValue,
        PipelineSpec,
        StageTemplate,
        Template,
    )

PLAN_DIGEST_DIGITS = 16
"""Length of a plan digest in hexadecimal digits."""


def resolve_plan(
    spec: PipelineSpec, template: Template, source: str
) -> Result[Plan, list[Problem]]:
    """Return the plan of a pipeline, or all problems that prevent one."""
    problems = ProblemList(source=source)
    values = resolve_parameters(spec, template, problems)
    needed_ms = sum(stage.expected_ms for stage in template.stages)
    if spec.deadline_ms < needed_ms:
        problems.add('deadline_ms', f"{spec.deadline_ms} is below the stages' {needed_ms}")
    if problems.problems:
        return Failure(problems.problems)
    stages = tuple(resolve_stage(stage, values) for stage in template.stages)
    return Success(
        Plan(
            workspace=spec.workspace,
            pipeline=spec.name,
            stages=stages,
            deadline_s=spec.deadline_ms / 1000,
            priority=spec.priority,
            digest=plan_digest(spec, stages),
        )
    )


def resolve_parameters(
    spec: PipelineSpec, template: Template, problems: ProblemList
) -> dict[str, ParameterValue]:
    """Return a value for each parameter of the template, and report problems."""
    values: dict[str, ParameterValue] = {}
    known = {parameter.name: parameter for parameter in template.parameters}
    for name in spec.parameters:
        if name not in known:
            problems.add(f'parameters.{name}', f'template {template.name!r} has no such parameter')
    for name, parameter in known.items():
        if name in spec.parameters:
            values[name] = spec.parameters[name]
            if not has_type(values[name], parameter.type):
                problems.add(f'parameters.{name}', f'must be of type {parameter.type.value}')
        elif parameter.required:
            problems.add(f'parameters.{name}', 'is missing')
        elif parameter.default is not None:
            values[name] = parameter.default
    return values


def resolve_stage(stage: StageTemplate, values: dict[str, ParameterValue]) -> StagePlan:
    """Return a stage with its parameters resolved."""
    return StagePlan(
        name=stage.name,
        kind=stage.kind,
        service=stage.service,
        expected_s=stage.expected_ms / 1000,
        params=substitute(stage.params, values),
        repeatable=stage.repeatable,
    )


def substitute(value: Any, values: dict[str, ParameterValue]) -> Any:
    """Replace `${name}` references in nested values.

    A string that is exactly one reference becomes the value itself, with its type.
    """
    if isinstance(value, dict):
        return {key: substitute(item, values) for key, item in value.items()}
    if isinstance(value, list):
        return [substitute(item, values) for item in value]
    if not isinstance(value, str):
        return value
    whole = PARAMETER_REFERENCE.fullmatch(value)
    if whole:
        return values[whole.group(1)]
    return PARAMETER_REFERENCE.sub(lambda match: str(values[match.group(1)]), value)


def plan_digest(spec: PipelineSpec, stages: tuple[StagePlan, ...]) -> str:
    """Return a digest of everything that determines how requests of the pipeline run."""
    data = {
        'workspace': spec.workspace,
        'pipeline': spec.name,
        'deadline_ms': spec.deadline_ms,
        'priority': spec.priority,
        'stages': [stage._asdict() for stage in stages],
    }
    encoded = msgspec.json.encode(data, order='sorted')
    return hashlib.sha256(encoded).hexdigest()[:PLAN_DIGEST_DIGITS]
