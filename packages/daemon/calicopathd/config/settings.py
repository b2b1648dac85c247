"""Declare the daemon's settings and load them, reporting all problems at once."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.execution.policy import Objective
from calicopathd.config.options import (
    Choice,
    Integer,
    InvalidValue,
    ListenAddress,
    Name,
    Number,
    Text,
    Url,
    options_of,
)
from calicopathd.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping


class Settings:
    """Hold the checked settings; each comes from its flag or its environment variable."""

    box = Name()
    """Name of this box, as the platform's box list gives it."""

    failure_domain = Name()
    """Failure domain in which this box stands."""

    platform = Url()
    """URL of the platform's object API."""

    listen = ListenAddress(default='127.0.0.1:8080')
    """Address on which callers are served."""

    peer_listen = ListenAddress(default='127.0.0.1:0')
    """Address on which other boxes are heard."""

    peer_address = Text(default='')
    """Address by which other boxes reach this one, where it differs from `--peer-listen`."""

    seed_peers = Text(default='')
    """Peer addresses, by commas, to start from when the platform is down at the start."""

    objective = Choice(choices=tuple(Objective), default=Objective.ATTAINMENT.value)
    """What the deployment weighs more: requests answered in time, or cost by stage."""

    prefix_affinity = Choice(choices=('off', 'on'), default='off')
    """Whether calls with one prompt prefix go to one engine; pays with many more prefixes than an
    engine caches."""

    boxes = Integer(low=1, high=100_000, default='8')
    """Boxes that share the endpoints; the first limit of an endpoint is divided by it."""

    relist_s = Number(low=0.1, high=60, default='2')
    """Seconds between two reads of the whole configuration, which heal a broken watch."""

    isolation_s = Number(low=2, high=3600, default='5')
    """Seconds without platform and peers after which a box takes no new requests."""

    leave_grace_s = Number(low=0, high=300, default='2')
    """Seconds that a stopping box goes on serving while the balancer learns of it."""

    claim_shards = Integer(low=1, high=4096, default='16')
    """Objects among which idempotency keys are spread; must be the same on every box."""

    claim_slot_s = Integer(low=1, high=3600, default='60')
    """Seconds within which idempotency keys made share an object; must be the same on every box."""

    claim_write_interval_s = Number(low=0.0, high=1.0, default='0.05')
    """Least seconds between two writes of one such object; more saves writes and takes longer."""

    claim_retention_h = Number(low=0.01, high=8760, default='24')
    """Hours for which an idempotency key and its answer are kept."""

    max_body_bytes = Integer(low=1024, high=64 * 1024 * 1024, default='1048576')
    """Largest request body taken."""

    seed = Integer(low=0, high=2**31, default='0')
    """Seed of random choices; 0 takes a different one each start."""

    log_level = Choice(choices=('debug', 'info', 'warning', 'error'), default='info')
    """Least level of log lines."""

    log_format = Choice(choices=('json', 'console'), default='json')
    """Form of log lines."""


class SettingSource(NamedTuple):
    """Hold the sources of settings: flags by option name, and environment variables."""

    flags: Mapping[str, str | None]
    environment: Mapping[str, str]


def load_settings(source: SettingSource) -> Settings:
    """Return the settings from flags, environment and defaults, in this order of precedence.

    Raise one `SettingsError` that lists all problems.
    """
    settings = Settings()
    problems: list[str] = []
    options = options_of(Settings)
    known = {option.variable for option in options.values()}
    for variable in sorted(source.environment):
        if variable.startswith('CALICOPATH_') and variable not in known:
            problems.append(f'{variable} is not a known setting')
    for name, option in options.items():
        text = source.flags.get(name)
        if text is None:
            text = source.environment.get(option.variable, option.default)
        if text is None:
            problems.append(f'{option.flag} or {option.variable} is required')
            continue
        try:
            setattr(settings, name, option.parse(text))
        except InvalidValue as error:
            problems.append(f'{option.flag}: {text!r} {error}')
    if problems:
        raise SettingsError('\n'.join(problems))
    return settings
