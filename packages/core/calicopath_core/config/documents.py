"""Read configuration files and validate all their documents together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import yaml
from returns.result import Failure, Result, Success

from calicopath_core.config.parsers import parse_endpoint, parse_pipeline, parse_template
from calicopath_core.config.plans import resolve_plan
from calicopath_core.config.problems import Problem
from calicopath_core.structure.keys import endpoint_key, pipeline_key, template_key

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from pathlib import Path

    from calicopath_core.structure.endpoints import Endpoint
    from calicopath_core.structure.stages import PipelineSpec, Template

DOCUMENT_KINDS = ('template', 'pipeline', 'endpoint')


class Document(NamedTuple):
    """Hold one valid configuration document and its store key."""

    key: str
    spec: dict[str, Any]
    source: str


class RawDocument(NamedTuple):
    """Hold one document as read, before validation; `source` names its file and index."""

    source: str
    data: Any


class DocumentSet:
    """Validate documents individually, against each other and against objects in force."""

    def __init__(self, *, in_force: Mapping[str, dict[str, Any]] | None = None) -> None:
        self.problems: list[Problem] = []
        self.documents: list[Document] = []
        self.templates: dict[str, Template] = {}
        self.pipelines: list[tuple[PipelineSpec, str]] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.keys: set[str] = set()
        for key, spec in (in_force or {}).items():
            self.add_in_force(key, spec)

    def add_in_force(self, key: str, spec: dict[str, Any]) -> None:
        """Add an object in force, which new documents may refer to."""
        if spec.get('kind') == 'template':
            parse_template(spec, key).map(self.store_template)
        elif spec.get('kind') == 'endpoint':
            parse_endpoint(spec, key).map(self.store_endpoint)
        elif spec.get('kind') == 'pipeline':
            parse_pipeline(spec, key).map(lambda found: self.pipelines.append((found, key)))

    def store_template(self, template: Template) -> str:
        """Store a template and return its key."""
        self.templates[template.name] = template
        return template_key(template.name)

    def store_endpoint(self, endpoint: Endpoint) -> str:
        """Store an endpoint and return its key."""
        self.endpoints[endpoint.name] = endpoint
        return endpoint_key(endpoint.name)

    def store_pipeline(self, spec: PipelineSpec, source: str) -> str:
        """Store a pipeline in place of the one with the same name, and return its key."""
        key = pipeline_key(spec.workspace, spec.name)
        self.pipelines = [
            (known, origin)
            for known, origin in self.pipelines
            if (known.workspace, known.name) != (spec.workspace, spec.name)
        ]
        self.pipelines.append((spec, source))
        return key

    def add(self, raw: RawDocument) -> None:
        """Validate one document by itself."""
        kind = raw.data.get('kind') if isinstance(raw.data, dict) else None
        if kind not in DOCUMENT_KINDS:
            message = f'must be one of {", ".join(DOCUMENT_KINDS)}'
            self.problems.append(Problem(raw.source, 'kind', message))
            return
        parsers: dict[str, Callable[[], Result[str, list[Problem]]]] = {
            'template': lambda: parse_template(raw.data, raw.source).map(self.store_template),
            'endpoint': lambda: parse_endpoint(raw.data, raw.source).map(self.store_endpoint),
            'pipeline': lambda: parse_pipeline(raw.data, raw.source).map(
                lambda spec: self.store_pipeline(spec, raw.source)
            ),
        }
        result = parsers[kind]()
        if isinstance(result, Failure):
            self.problems.extend(result.failure())
            return
        key = result.unwrap()
        if key in self.keys:
            self.problems.append(Problem(raw.source, 'name', f'{key} is given twice'))
        self.keys.add(key)
        self.documents.append(Document(key, raw.data, raw.source))

    def check_references(self) -> None:
        """Validate pipelines against templates, and stages against endpoints."""
        services = {(item.service, item.kind) for item in self.endpoints.values()}
        for spec, source in self.pipelines:
            template = self.templates.get(spec.template)
            if template is None:
                message = f'unknown template {spec.template!r}'
                self.problems.append(Problem(source, 'template', message))
                continue
            plan = resolve_plan(spec, template, source)
            if isinstance(plan, Failure):
                self.problems.extend(plan.failure())
            for stage in template.stages:
                if (stage.service, stage.kind) not in services:
                    message = (
                        f'stage {stage.name!r} needs {stage.kind.value} endpoints of service '
                        f'{stage.service!r}, and there are none'
                    )
                    self.problems.append(Problem(source, 'template', message))

    def finish(self) -> Result[list[Document], list[Problem]]:
        """Return the documents in the order in which to apply them, or all problems."""
        self.check_references()
        if self.problems:
            return Failure(self.problems)
        order = {'endpoint': 0, 'template': 1, 'pipeline': 2}
        return Success(sorted(self.documents, key=lambda item: order[item.spec['kind']]))


def read_files(paths: Iterable[Path]) -> Result[list[RawDocument], list[Problem]]:
    """Read every YAML document in the given files and folders, or return all problems."""
    documents: list[RawDocument] = []
    problems: list[Problem] = []
    for path in expand_folders(paths):
        try:
            found = list(yaml.safe_load_all(path.read_text(encoding='utf-8')))
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
            problems.append(Problem(str(path), 'file', ' '.join(str(error).split())))
            continue
        for index, data in enumerate(found):
            if data is not None:
                documents.append(RawDocument(f'{path}#{index + 1}', data))
    return Failure(problems) if problems else Success(documents)


def expand_folders(paths: Iterable[Path]) -> list[Path]:
    """Replace each folder by its YAML files, sorted by name."""
    files: list[Path] = []
    for path in paths:
        files.extend(sorted(path.glob('*.yaml')) if path.is_dir() else [path])
    return files


def check_documents(
    documents: Iterable[RawDocument], in_force: Mapping[str, dict[str, Any]] | None = None
) -> Result[list[Document], list[Problem]]:
    """Validate documents together with the objects in force, given by store key."""
    checked = DocumentSet(in_force=in_force)
    for raw in documents:
        checked.add(raw)
    return checked.finish()
