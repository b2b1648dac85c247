"""Read typed fields of a parsed document and collect each problem."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from calicopath_core.structure.keys import NAME_RULE, is_valid_name

if TYPE_CHECKING:
    from calicopath_core.config.problems import ProblemList


class FieldReader:
    """Read the fields of one mapping.

    For an invalid field a method reports the problem and returns a valid placeholder, so that the
    other fields are checked too.
    Fields that were never read are reported by `finish`.
    """

    def __init__(self, *, data: Any, path: str, problems: ProblemList) -> None:
        self.path = path
        self.problems = problems
        self.known_names: set[str] = set()
        self.data: dict[str, Any] = {}
        if not isinstance(data, dict):
            problems.add(path or 'document', 'must be a mapping')
            return
        self.data = {str(key): value for key, value in data.items()}

    def path_to(self, name: str) -> str:
        """Return the full path of a field."""
        return f'{self.path}.{name}' if self.path else name

    def raw(self, name: str, default: Any = None, *, required: bool = False) -> Any:
        """Return the unchecked value of a field and mark its name as known."""
        self.known_names.add(name)
        if name not in self.data:
            if required:
                self.problems.add(self.path_to(name), 'is missing')
            return default
        return self.data[name]

    def name(self, name: str) -> str:
        """Return a required field that holds a valid name."""
        value = self.raw(name, required=True)
        if value is None:
            return ''
        if not isinstance(value, str) or not is_valid_name(value):
            self.problems.add(self.path_to(name), f'must be a name: {NAME_RULE}')
            return ''
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string field, which is required if there is no default."""
        value = self.raw(name, default, required=default is None)
        if value is None:
            return ''
        if not isinstance(value, str):
            self.problems.add(self.path_to(name), 'must be a string')
            return ''
        return value

    def integer(self, name: str, *, low: int, high: int, default: int | None = None) -> int:
        """Return an integer field between `low` and `high`, required if there is no default."""
        value = self.raw(name, default, required=default is None)
        if value is None:
            return low
        if not isinstance(value, int) or isinstance(value, bool):
            self.problems.add(self.path_to(name), 'must be a whole number')
            return low
        if not low <= value <= high:
            self.problems.add(self.path_to(name), f'must be between {low} and {high}')
            return low
        return value

    def boolean(self, name: str, *, default: bool) -> bool:
        """Return a boolean field."""
        value = self.raw(name, default)
        if not isinstance(value, bool):
            self.problems.add(self.path_to(name), 'must be true or false')
            return default
        return value

    def choice(self, name: str, choices: list[str], default: str | None = None) -> str:
        """Return a field that holds one of `choices`, required if there is no default."""
        value = self.raw(name, default, required=default is None)
        if value is None:
            return choices[0]
        if value not in choices:
            self.problems.add(self.path_to(name), f'must be one of {", ".join(choices)}')
            return choices[0]
        return str(value)

    def mapping(self, name: str) -> dict[str, Any]:
        """Return a mapping field, empty if absent."""
        value = self.raw(name, {})
        if not isinstance(value, dict):
            self.problems.add(self.path_to(name), 'must be a mapping')
            return {}
        return {str(key): item for key, item in value.items()}

    def sequence(self, name: str) -> list[Any]:
        """Return a required list field with at least one item."""
        value = self.raw(name, required=True)
        if value is None:
            return []
        if not isinstance(value, list) or not value:
            self.problems.add(self.path_to(name), 'must be a list with at least one item')
            return []
        return value

    def finish(self) -> None:
        """Report every field whose name is not known."""
        for name in self.data:
            if name not in self.known_names:
                self.problems.add(self.path_to(name), 'is not a known key')
