"""Check configuration files without contacting the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure

from calicopath_cli.exceptions import InvalidInput
from calicopath_cli.utils.output import OutputFormat, print_json
from calicopath_core.config.documents import Document, check_documents, read_files

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path


def load_documents(
    paths: Sequence[Path], in_force: Mapping[str, dict[str, Any]] | None = None
) -> list[Document]:
    """Read and check files; raise `InvalidInput` that lists all problems, one per line.

    `in_force` holds the specs in force by key, which the files may refer to.
    """
    raw = read_files(paths)
    if isinstance(raw, Failure):
        raise InvalidInput('\n'.join(str(problem) for problem in raw.failure()))
    checked = check_documents(raw.unwrap(), in_force)
    if isinstance(checked, Failure):
        raise InvalidInput('\n'.join(str(problem) for problem in checked.failure()))
    return checked.unwrap()


def check(paths: Sequence[Path], output: OutputFormat) -> None:
    """Check files and print which objects they define."""
    documents = load_documents(paths)
    if output is OutputFormat.JSON:
        print_json({'valid': True, 'objects': [document.key for document in documents]})
        return
    print(f'{len(documents)} objects are valid')
