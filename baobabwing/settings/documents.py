"""Parse, validate and serialise configuration documents."""

from __future__ import annotations

import dataclasses
import json
import zlib
from collections.abc import Mapping

import baobabwing.settings.rules  # noqa: F401  (registers the rules of fields)
from baobabwing.brands.operators import Role
from baobabwing.exceptions import SettingsError
from baobabwing.pools.catalogue import PoolKind
from baobabwing.settings.checker import FieldError, build
from baobabwing.settings.configuration import Configuration

__all__ = [
    "check_administrators",
    "check_configuration",
    "deflate",
    "dump_configuration",
    "inflate",
    "parse_configuration",
]

_MAX_DOCUMENT_BYTES = 64 << 20
_UNPUBLISHED = 0


def parse_configuration(mapping: Mapping) -> Configuration:
    """Build and validate a configuration from a document.

    A document without a version was not published yet and gets version 0.

    :raises FieldError: for the first invalid field.
    """
    if isinstance(mapping, Mapping):
        mapping = {"version": _UNPUBLISHED, **mapping}
    cfg = build(Configuration, mapping)
    check_configuration(cfg)
    return cfg


def dump_configuration(cfg: Configuration) -> dict:
    """Return a configuration as a document of plain JSON values."""
    return json.loads(json.dumps(dataclasses.asdict(cfg)))


def deflate(cfg: Configuration) -> bytes:
    """Serialise and compress a configuration for the wire."""
    document = json.dumps(dump_configuration(cfg), separators=(",", ":"))
    return zlib.compress(document.encode())


def inflate(data: bytes) -> Configuration:
    """Decompress and parse the output of :func:`deflate`.

    :raises SettingsError: if the bytes are not a valid configuration.
    """
    # A hostile message of a few kilobytes can decompress to gigabytes and exhaust
    # the memory of a node; the limit stops decompression before that.
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, _MAX_DOCUMENT_BYTES)
        if not decompressor.eof:
            raise SettingsError("document too large or truncated", step="inflate")
        return parse_configuration(json.loads(text))
    except (zlib.error, ValueError, RecursionError) as exc:
        raise SettingsError(f"invalid document: {exc}", step="inflate") from exc


def check_configuration(cfg: Configuration) -> None:
    """Check the constraints between fields of a configuration.

    :raises FieldError: if a name, digest, rank or address occurs twice, a
        reference has no target, a pool has models that its kind does not allow,
        a model is in two pools or a brand has two routes for a name.
    """
    for group in (
        "tiers",
        "brands",
        "organisations",
        "credentials",
        "pools",
        "upstreams",
        "leaving_hosts",
        "operators",
    ):
        _check_unique(cfg, group, "name")
    _check_unique(cfg, "tiers", "rank")
    _check_unique(cfg, "credentials", "sha256")
    _check_unique(cfg, "upstreams", "address")
    _check_unique(cfg, "operators", "sha256")
    _check_reference(cfg, "organisations", "brand", "brands")
    _check_reference(cfg, "credentials", "organisation", "organisations")
    _check_reference(cfg, "credentials", "tier", "tiers")
    _check_reference(cfg, "upstreams", "pool", "pools")
    _check_models(cfg)
    _check_routes(cfg)
    _check_operators(cfg)


def _check_unique(cfg: Configuration, group: str, name: str) -> None:
    seen = set()
    for index, item in enumerate(getattr(cfg, group)):
        value = getattr(item, name)
        if value in seen:
            raise FieldError(
                path=f"{group}[{index}].{name}",
                found=f"{value!r} a second time",
                allowed="a value of its own",
            )
        seen.add(value)


def _check_reference(cfg: Configuration, group: str, name: str, target: str) -> None:
    known = [item.name for item in getattr(cfg, target)]
    for index, item in enumerate(getattr(cfg, group)):
        value = getattr(item, name)
        if value not in known:
            raise FieldError(
                path=f"{group}[{index}].{name}",
                found=repr(value),
                allowed=f"a name in {target}: {', '.join(known) or 'none'}",
            )


def _check_models(cfg: Configuration) -> None:
    pool_by_model: dict[str, str] = {}
    for index, pool in enumerate(cfg.pools):
        path = f"pools[{index}].models"
        if (pool.kind is PoolKind.ENGINE) != bool(pool.models):
            raise FieldError(
                path=path,
                found=f"{len(pool.models)} models in a pool of kind {pool.kind}",
                allowed="at least one for engines, none for services",
            )
        for model in pool.models:
            if pool_by_model.setdefault(model, pool.name) != pool.name:
                raise FieldError(
                    path=path,
                    found=f"{model!r}, also in pool {pool_by_model[model]!r}",
                    allowed="a model of no other pool",
                )


def _check_routes(cfg: Configuration) -> None:
    models = {model for pool in cfg.pools for model in pool.models}
    brands = {brand.name for brand in cfg.brands} | {""}
    seen = set()
    for index, route in enumerate(cfg.routes):
        path = f"routes[{index}]"
        if route.brand not in brands:
            raise FieldError(
                path=f"{path}.brand", found=repr(route.brand), allowed="a known brand"
            )
        if route.serves not in models:
            raise FieldError(
                path=f"{path}.serves",
                found=repr(route.serves),
                allowed=f"a model of a pool: {', '.join(sorted(models)) or 'none'}",
            )
        if (route.brand, route.model) in seen:
            raise FieldError(
                path=f"{path}.model",
                found=f"{route.model!r} a second time for the brand",
                allowed="one route",
            )
        seen.add((route.brand, route.model))


def _check_operators(cfg: Configuration) -> None:
    brands = {brand.name for brand in cfg.brands}
    keys = {credential.sha256 for credential in cfg.credentials}
    for index, operator in enumerate(cfg.operators):
        path = f"operators[{index}]"
        for brand in operator.brands:
            if brand not in brands:
                raise FieldError(
                    path=f"{path}.brands", found=repr(brand), allowed="a known brand"
                )
        if operator.sha256 in keys:
            raise FieldError(
                path=f"{path}.sha256",
                found="the digest of a caller's key",
                allowed="a token of its own",
            )


def check_administrators(cfg: Configuration) -> None:
    """Check that at least one operator may administer all brands.

    A configuration without operators passes: it is not access-controlled.

    :raises FieldError: if there are operators, but no admin of all brands.
    """
    has_full_admin = any(
        operator.role is Role.ADMIN and not operator.confined
        for operator in cfg.operators
    )
    if cfg.operators and not has_full_admin:
        # Without such an operator a lost token could never be replaced.
        raise FieldError(
            path="operators",
            found="no admin of all brands",
            allowed="at least one with role admin and without brands",
        )
