"""Define the types of settings."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, Generic, NamedTuple, TypeVar, overload
from urllib.parse import urlsplit

from calicopath_core.structure.keys import NAME_RULE, is_valid_name

T = TypeVar('T')

MAX_PORT = 65535


class InvalidValue(ValueError):
    """Report that the text of a setting is invalid."""


class Address(NamedTuple):
    """Hold the host name or IP address and the port to listen on; port 0 means any free port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`."""
        return f'{self.host}:{self.port}'


class Option(ABC, Generic[T]):
    """Declare one setting as a descriptor; a setting without a default is required."""

    def __init__(self, *, default: str | None = None) -> None:
        self.default = default
        self.name = ''

    def __set_name__(self, owner: type, name: str) -> None:
        self.name = name

    @overload
    def __get__(self, instance: None, owner: type) -> Option[T]: ...

    @overload
    def __get__(self, instance: object, owner: type) -> T: ...

    def __get__(self, instance: object | None, owner: type) -> Option[T] | T:
        if instance is None:
            return self
        value: T = instance.__dict__[self.name]
        return value

    def __set__(self, instance: object, value: T) -> None:
        instance.__dict__[self.name] = value

    @property
    def flag(self) -> str:
        """Return the command line flag."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return 'CALICOPATH_' + self.name.upper()

    @abstractmethod
    def parse(self, text: str) -> T:
        """Return the value of a text; raise `InvalidValue` if it is invalid."""

    @abstractmethod
    def describe(self) -> str:
        """Return a description of the accepted values for `--help` and the reference page."""


class Name(Option[str]):
    """Take a name."""

    def parse(self, text: str) -> str:
        """Check the name."""
        if not is_valid_name(text):
            raise InvalidValue(f'must be a name: {NAME_RULE}')
        return text

    def describe(self) -> str:
        """Describe a name."""
        return 'name'


class Text(Option[str]):
    """Take any text."""

    def parse(self, text: str) -> str:
        """Take the text without spaces around it."""
        return text.strip()

    def describe(self) -> str:
        """Describe a text."""
        return 'text'


class ListenAddress(Option[Address]):
    """Take a host and port to listen on."""

    def parse(self, text: str) -> Address:
        """Split host and port."""
        host, colon, port = text.rpartition(':')
        if not colon or not host or not port.isdigit() or int(port) > MAX_PORT:
            raise InvalidValue('must look like 127.0.0.1:8080')
        return Address(host.strip('[]'), int(port))

    def describe(self) -> str:
        """Describe an address."""
        return 'host:port'


class Url(Option[str]):
    """Take the URL of an HTTP service."""

    def parse(self, text: str) -> str:
        """Check scheme and host."""
        parts = urlsplit(text)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise InvalidValue('must look like http://127.0.0.1:7000')
        return text.rstrip('/')

    def describe(self) -> str:
        """Describe a URL."""
        return 'URL'


class Number(Option[float]):
    """Take a number between two bounds."""

    def __init__(self, *, low: float, high: float, default: str | None = None) -> None:
        super().__init__(default=default)
        self.low = low
        self.high = high

    def parse(self, text: str) -> float:
        """Check the bounds."""
        try:
            value = float(text)
        except ValueError:
            raise InvalidValue('must be a number') from None
        if not self.low <= value <= self.high:
            raise InvalidValue(f'must be between {self.low:g} and {self.high:g}')
        return value

    def describe(self) -> str:
        """Describe the bounds."""
        return f'number, {self.low:g} to {self.high:g}'


class Integer(Option[int]):
    """Take a whole number between two bounds."""

    def __init__(self, *, low: int, high: int, default: str | None = None) -> None:
        super().__init__(default=default)
        self.low = low
        self.high = high

    def parse(self, text: str) -> int:
        """Check the bounds."""
        try:
            value = int(text)
        except ValueError:
            raise InvalidValue('must be a whole number') from None
        if not self.low <= value <= self.high:
            raise InvalidValue(f'must be between {self.low} and {self.high}')
        return value

    def describe(self) -> str:
        """Describe the bounds."""
        return f'whole number, {self.low} to {self.high}'


class Choice(Option[str]):
    """Take one of a few words."""

    def __init__(self, *, choices: tuple[str, ...], default: str | None = None) -> None:
        super().__init__(default=default)
        self.choices = choices

    def parse(self, text: str) -> str:
        """Check that the text is one of the choices."""
        if text not in self.choices:
            raise InvalidValue(f'must be one of {", ".join(self.choices)}')
        return text

    def describe(self) -> str:
        """List the words."""
        return ' or '.join(self.choices)


def options_of(schema: type) -> dict[str, Option[Any]]:
    """Return the options that a schema declares, in order."""
    return {name: item for name, item in vars(schema).items() if isinstance(item, Option)}
