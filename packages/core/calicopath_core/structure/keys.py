"""Build the keys under which configuration is kept in the object store."""

from __future__ import annotations

import re

CONFIG_PREFIX = 'config/'
"""Prefix of all objects that the boxes watch."""

TEMPLATE_PREFIX = CONFIG_PREFIX + 'templates/'
PIPELINE_PREFIX = CONFIG_PREFIX + 'pipelines/'
ENDPOINT_PREFIX = CONFIG_PREFIX + 'endpoints/'
AUDIT_PREFIX = 'audit/'
CLAIM_PREFIX = 'claims/'

NAME_PATTERN = re.compile(r'^[a-z0-9][a-z0-9-]{0,62}$')
NAME_RULE = 'lower-case letters, digits and hyphens, 63 characters at most'


def is_valid_name(name: str) -> bool:
    """Return whether `name` is valid for a template, workspace, pipeline or endpoint."""
    return NAME_PATTERN.match(name) is not None


def template_key(name: str) -> str:
    """Return the store key of a template."""
    return f'{TEMPLATE_PREFIX}{name}'


def pipeline_key(workspace: str, name: str) -> str:
    """Return the store key of a workspace's pipeline."""
    return f'{PIPELINE_PREFIX}{workspace}/{name}'


def endpoint_key(name: str) -> str:
    """Return the store key of an endpoint."""
    return f'{ENDPOINT_PREFIX}{name}'


def audit_key(key: str, sequence: int) -> str:
    """Return the key of the audit record of change number `sequence` of `key`."""
    return f'{AUDIT_PREFIX}{key}/{sequence:08d}'
