"""Validation and application of configuration changes, as pure functions."""

import dataclasses

from brasstrail.core import data, errors

MAX_TIER = 99
MAX_NAME_CHARACTERS = 64


def apply_change(config, change):
    """Return the configuration after a change.

    Raises `errors.InvalidChange` with all problems of the change and of the
    resulting configuration.
    """
    changed = dataclasses.replace(
        config,
        version=config.version + 1,
        services=merge_by_name(
            config.services, change.services, change.removed_services
        ),
        classes=merge_by_name(config.classes, change.classes, change.removed_classes),
        workspaces=merge_by_name(
            config.workspaces, change.workspaces, change.removed_workspaces
        ),
    )
    problems = [*find_missing_names(config, change), *find_problems(changed)]
    if problems:
        raise errors.InvalidChange(
            "; ".join(problems) + ".", "Correct what is named and send it again."
        )
    return changed


def merge_by_name(items, updated, removed):
    """Return `items` with `updated` added or replaced and `removed` left out, by name.

    The result is sorted by name.
    """
    merged = {item.name: item for item in items}
    merged.update({item.name: item for item in updated})
    for name in removed:
        merged.pop(name, None)
    return tuple(merged[name] for name in sorted(merged))


def find_missing_names(config, change):
    """Yield a problem for each name that a change removes but that does not exist."""
    for items, removed, label in (
        (config.services, change.removed_services, "service"),
        (config.classes, change.removed_classes, "class"),
        (config.workspaces, change.removed_workspaces, "workspace"),
    ):
        for name in removed:
            if data.find_by_name(items, name) is None:
                yield f"there is no {label} {name!r} to remove"


def find_problems(config):
    """Yield the problems of a configuration."""
    for item in (*config.services, *config.classes, *config.workspaces):
        if not item.name or len(item.name) > MAX_NAME_CHARACTERS:
            yield f"the name {item.name!r} must have 1 to {MAX_NAME_CHARACTERS} letters"
    for service in config.services:
        yield from find_service_problems(service)
    for work_class in config.classes:
        yield from find_class_problems(config, work_class)


def find_service_problems(service):
    """Yield the problems of a service."""
    if service.kind not in list(data.ServiceKind):
        yield f"service {service.name!r} must be of kind model or plain"
    if service.kind == data.ServiceKind.PLAIN and service.models:
        yield f"service {service.name!r} is plain and can have no models"


def find_class_problems(config, work_class):
    """Yield the problems of a class of work."""
    name = work_class.name
    target = work_class.target
    service = config.find_service(work_class.service)
    if service is None:
        yield f"class {name!r} names the unknown service {work_class.service!r}"
    elif service.kind == data.ServiceKind.MODEL and not work_class.idempotent:
        yield f"class {name!r} is of a model service and must be idempotent"
    if not 1 <= work_class.tier <= MAX_TIER:
        yield f"class {name!r} must have a tier from 1 to {MAX_TIER}"
    if not 0 < target.fraction <= 1:
        yield f"class {name!r} must have a fraction above 0 and up to 1"
    if target.within_ms <= 0:
        yield f"class {name!r} must have within_ms above 0"
    if not 0 <= target.first_token_within_ms <= target.within_ms:
        yield f"class {name!r} must have first_token_within_ms up to within_ms"
