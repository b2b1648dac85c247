"""Parse documents into templates, pipelines and endpoints."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

from returns.result import Failure, Result, Success

from calicopath_core.config.fields import FieldReader
from calicopath_core.config.problems import Problem, ProblemList
from calicopath_core.structure.endpoints import Endpoint, EndpointState
from calicopath_core.structure.stages import (
    Parameter,
    ParameterType,
    ParameterValue,
    PipelineSpec,
    StageKind,
    StageTemplate,
    Template,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_DEADLINE_MS = 600_000
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
MAX_CONCURRENCY = 4096
MAX_STAGES = 8
PARAMETER_REFERENCE = re.compile(r'\$\{([^}]*)\}')

PYTHON_TYPES: dict[ParameterType, tuple[type, ...]] = {
    ParameterType.STRING: (str,),
    ParameterType.INTEGER: (int,),
    ParameterType.NUMBER: (int, float),
    ParameterType.BOOLEAN: (bool,),
}


def has_type(value: Any, kind: ParameterType) -> bool:
    """Return whether `value` has a parameter's type; a boolean is not a number."""
    if isinstance(value, bool):
        return kind is ParameterType.BOOLEAN
    return isinstance(value, PYTHON_TYPES[kind])


def parameter_references(value: Any) -> Iterator[str]:
    """Yield the names of the parameters that `value` refers to, in nested values too."""
    if isinstance(value, str):
        yield from PARAMETER_REFERENCE.findall(value)
    elif isinstance(value, dict):
        for item in value.values():
            yield from parameter_references(item)
    elif isinstance(value, list):
        for item in value:
            yield from parameter_references(item)


def parse_template(data: Any, source: str) -> Result[Template, list[Problem]]:
    """Parse a template document, or return all its problems."""
    problems = ProblemList(source=source)
    fields = FieldReader(data=data, path='', problems=problems)
    fields.raw('kind')
    name = fields.name('name')
    parameters = tuple(
        parse_parameter(key, item, f'parameters.{key}', problems)
        for key, item in fields.mapping('parameters').items()
    )
    stages = tuple(
        parse_stage(item, f'stages[{index}]', problems)
        for index, item in enumerate(fields.sequence('stages'))
    )
    fields.finish()
    check_stages(stages, parameters, problems)
    if problems.problems:
        return Failure(problems.problems)
    return Success(Template(name, parameters, stages))


def parse_parameter(name: str, data: Any, path: str, problems: ProblemList) -> Parameter:
    """Parse the declaration of one parameter."""
    fields = FieldReader(data=data, path=path, problems=problems)
    kind = ParameterType(fields.choice('type', [item.value for item in ParameterType]))
    required = 'default' not in fields.data
    default = fields.raw('default')
    doc = fields.text('doc', '')
    fields.finish()
    if not required and not has_type(default, kind):
        problems.add(f'{path}.default', f'must be of type {kind.value}')
    return Parameter(name, kind, default, required, doc)


def parse_stage(data: Any, path: str, problems: ProblemList) -> StageTemplate:
    """Parse the declaration of one stage."""
    fields = FieldReader(data=data, path=path, problems=problems)
    stage = StageTemplate(
        name=fields.name('name'),
        kind=StageKind(fields.choice('kind', [item.value for item in StageKind])),
        service=fields.name('service'),
        expected_ms=fields.integer('expected_ms', low=1, high=MAX_DEADLINE_MS),
        params=fields.mapping('params'),
        repeatable=fields.boolean('repeatable', default=True),
    )
    fields.finish()
    if not stage.repeatable and stage.kind is not StageKind.SERVICE:
        problems.add(f'{path}.repeatable', 'only a service stage may be marked not repeatable')
    return stage


def check_stages(
    stages: tuple[StageTemplate, ...], parameters: tuple[Parameter, ...], problems: ProblemList
) -> None:
    """Check that stage names are unique and that stages refer to declared parameters only.

    Also check the number of stages, and that at most one is marked not repeatable.
    """
    if len(stages) > MAX_STAGES:
        problems.add('stages', f'at most {MAX_STAGES} stages')
    known = {parameter.name for parameter in parameters}
    names: set[str] = set()
    for index, stage in enumerate(stages):
        if stage.name and stage.name in names:
            problems.add(f'stages[{index}].name', f'{stage.name!r} is used twice')
        names.add(stage.name)
        for reference in parameter_references(stage.params):
            if reference not in known:
                problems.add(f'stages[{index}].params', f'unknown parameter {reference!r}')
    if sum(not stage.repeatable for stage in stages) > 1:
        problems.add('stages', 'at most one stage may be marked not repeatable')


def parse_pipeline(data: Any, source: str) -> Result[PipelineSpec, list[Problem]]:
    """Parse a pipeline document; `resolve_plan` checks it against its template."""
    problems = ProblemList(source=source)
    fields = FieldReader(data=data, path='', problems=problems)
    fields.raw('kind')
    spec = PipelineSpec(
        workspace=fields.name('workspace'),
        name=fields.name('name'),
        template=fields.name('template'),
        parameters=parse_parameter_values(fields, problems),
        deadline_ms=fields.integer('deadline_ms', low=1, high=MAX_DEADLINE_MS),
        priority=fields.integer('priority', low=0, high=MAX_PRIORITY, default=DEFAULT_PRIORITY),
    )
    fields.finish()
    return Failure(problems.problems) if problems.problems else Success(spec)


def parse_parameter_values(fields: FieldReader, problems: ProblemList) -> dict[str, ParameterValue]:
    """Read the parameters of a pipeline, which must be scalar values."""
    values = fields.mapping('parameters')
    for name, value in values.items():
        if not isinstance(value, str | int | float | bool):
            problems.add(f'parameters.{name}', 'must be a string, number or boolean')
    return values


def parse_endpoint(data: Any, source: str) -> Result[Endpoint, list[Problem]]:
    """Parse an endpoint document, or return all its problems."""
    problems = ProblemList(source=source)
    fields = FieldReader(data=data, path='', problems=problems)
    fields.raw('kind')
    endpoint = Endpoint(
        name=fields.name('name'),
        service=fields.name('service'),
        kind=StageKind(fields.choice('stage', [item.value for item in StageKind])),
        address=fields.text('address'),
        failure_domain=fields.name('failure_domain'),
        concurrency=fields.integer('concurrency', low=1, high=MAX_CONCURRENCY),
        state=EndpointState(
            fields.choice('state', [item.value for item in EndpointState], 'active')
        ),
        version=fields.text('version', ''),
    )
    fields.finish()
    if endpoint.address and not is_http_address(endpoint.address):
        problems.add('address', 'must look like http://127.0.0.1:9000')
    return Failure(problems.problems) if problems.problems else Success(endpoint)


def is_http_address(address: str) -> bool:
    """Return whether `address` is an HTTP URL with a host and a port, and no path."""
    try:
        parts = urlsplit(address)
        port = parts.port
    except ValueError:
        return False
    return parts.scheme == 'http' and bool(parts.hostname) and port is not None and not parts.path
