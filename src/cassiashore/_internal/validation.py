"""Loads YAML files into validated models and reports one line per fault."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.models.decode_errors import DECODE_ERRORS

ModelT = TypeVar("ModelT", bound=BaseModel)


def format_validation_errors(where: str, error: ValidationError) -> list[str]:
    """Format each fault as ``WHERE: path.to.field: what is wrong, and what is allowed``."""
    lines = []
    for fault in error.errors(include_url=False, include_context=False):
        path = ".".join(str(step) for step in fault["loc"]) or "document"
        given = "" if isinstance(fault["input"], dict | list) else f" (given: {fault['input']!r})"
        lines.append(f"{where}: {path}: {fault['msg']}{given}")
    return lines


def read_yaml(path: str) -> object:
    """Read a YAML file; raise ``InvalidFileError`` when it cannot be read or parsed."""
    try:
        return yaml.load(Path(path).read_text(encoding="utf-8"), Loader=_UniqueKeyLoader)
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError([f"{path}: document: cannot be read: {error}"]) from error
    except (yaml.YAMLError, *DECODE_ERRORS) as error:
        detail = " ".join(str(error).split())
        raise InvalidFileError([f"{path}: document: not valid YAML: {detail}"]) from error


def load_model(path: str, model: type[ModelT]) -> ModelT:
    """Load a YAML file into a model; raise ``InvalidFileError`` with every fault found."""
    document = read_yaml(path)
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise InvalidFileError(format_validation_errors(path, error)) from error


class _UniqueKeyLoader(yaml.SafeLoader):
    """Safe YAML loader that rejects repeated keys instead of keeping the last one."""


def _construct_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[object, object]:
    keys: set[object] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if key in keys:
            raise yaml.constructor.ConstructorError(
                None, None, f'key "{key}" is given twice', key_node.start_mark
            )
        keys.add(key)
    return loader.construct_mapping(node, deep=True)


_UniqueKeyLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)
