"""Reads declarations from YAML; each error states its file, line and field."""

import difflib
import math
import re
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import yaml

from lavenderstall.errors import LavenderstallError
from lavenderstall.schemas import DECLARATIONS, Declaration, get_kind

# The YAML composer is recursive; deeper nesting would exhaust the stack.
MAX_DEPTH = 30
# Bounds the parsing time; declarations of 470 teams take less than 200 KB.
MAX_CHARACTERS = 4_000_000
TAG_TIMESTAMP = "tag:yaml.org,2002:timestamp"
TAG_STRING = "tag:yaml.org,2002:str"
MISSING_FIELD = re.compile(r"missing required field `([^`]+)`")
PATH_STEP = re.compile(r"\.([^.\[\]`]+)|\[(\d+|\.\.\.)\]")


class Problem(msgspec.Struct, frozen=True):
    """Describe one error in a file; `line` counts from 1, and `field` is a dotted path."""

    file: str
    line: int
    field: str
    detail: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}: "
        return location + (f"field {self.field!r}: " if self.field else "") + self.detail


class DeclarationError(LavenderstallError):
    """The declarations are invalid; `problems` lists every error found."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(map(str, self.problems)), step="declarations")


class Source(msgspec.Struct, frozen=True):
    """Hold the text of a file and its name."""

    file: str
    text: str


class LocatedDeclaration(msgspec.Struct, frozen=True):
    """Hold a declaration with the file and line where it starts."""

    value: Declaration
    file: str
    line: int


class _Loader(yaml.SafeLoader):
    """Reject aliases, which could expand without bound, and too deep nesting."""

    depth = 0

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.AliasEvent):
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(None, None, "aliases are not supported", mark)
        if self.depth >= MAX_DEPTH:
            mark = self.peek_event().start_mark
            raise yaml.composer.ComposerError(None, None, f"nested over {MAX_DEPTH} deep", mark)
        self.depth += 1
        try:
            return super().compose_node(parent, index)
        finally:
            self.depth -= 1


def _get_line(node: yaml.Node) -> int:
    return node.start_mark.line + 1


def find_closest_match(word: str, known: Iterable[str]) -> str | None:
    """Return the known word most similar to `word`, or None if none is close."""
    found = difflib.get_close_matches(word[:100], list(known), n=1, cutoff=0.5)
    return found[0] if found else None


def _describe_unknown(what: str, word: str, known: Iterable[str]) -> str:
    names = list(known)
    nearest = find_closest_match(word, names)
    hint = f"did you mean {nearest!r}?" if nearest else f"known are {', '.join(names)}"
    return f"unknown {what} {word[:100]!r}; {hint}"


class _DocumentDecoder:
    """Decode one YAML document and collect its problems."""

    def __init__(self, file: str, node: yaml.Node, loader: _Loader) -> None:
        self.file = file
        self.node = node
        self.loader = loader
        self.lines: dict[str, int] = {}
        self.problems: list[Problem] = []

    def _report(self, line: int, path: str, detail: str) -> None:
        self.problems.append(Problem(self.file, line, path, detail))

    def _convert_scalar(self, node: yaml.ScalarNode, path: str) -> Any:
        if node.tag == TAG_TIMESTAMP:
            node.tag = TAG_STRING
        try:
            value = self.loader.construct_object(node)
            if not isinstance(value, float) or math.isfinite(value):
                return value
            # JSON has no such number, so that it would be stored as none.
            self._report(_get_line(node), path, f"value {node.value[:40]!r} is no finite number")
        except (ValueError, OverflowError, AttributeError, KeyError, IndexError) as error:
            self._report(_get_line(node), path, f"value cannot be read: {error}")
        except yaml.YAMLError:
            self._report(_get_line(node), path, f"value has the unsupported tag {node.tag!r}")
        return None

    def _convert_mapping(self, node: yaml.MappingNode, path: str) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._report(_get_line(key_node), path, "a field name must be a word")
                continue
            key = key_node.value
            inner = f"{path}.{key}" if path else key
            if key in values:
                self._report(_get_line(key_node), inner, "field occurs twice")
            self.lines[inner] = _get_line(key_node)
            values[key] = self.convert(value_node, inner)
        return values

    def convert(self, node: yaml.Node, path: str = "") -> Any:
        """Return the plain value of a node and record the line of each field."""
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self.lines[f"{path}[{index}]"] = _get_line(item)
            return [self.convert(item, f"{path}[{i}]") for i, item in enumerate(node.value)]
        return self._convert_scalar(node, path) if isinstance(node, yaml.ScalarNode) else None

    def _check_fields(self, value: Any, kind: Any, path: str) -> None:
        """Report unknown fields, which msgspec ignores in structs also used by other bodies."""
        if isinstance(kind, msgspec.inspect.EnumType) and isinstance(value, str):
            words = [member.value for member in kind.cls]
            if value not in words:
                line = self.lines.get(path, _get_line(self.node))
                self._report(line, path, _describe_unknown("value", value, words))
        if isinstance(kind, msgspec.inspect.DictType) and isinstance(value, dict):
            for name, inner in value.items():
                self._check_fields(name, kind.key_type, f"{path}.{name}")
                self._check_fields(inner, kind.value_type, f"{path}.{name}")
        if isinstance(kind, msgspec.inspect.StructType) and isinstance(value, dict):
            known = {field.encode_name: field.type for field in kind.fields}
            tag = {kind.tag_field} if kind.tag_field else set()
            for name, inner in value.items():
                inner_path = f"{path}.{name}" if path else name
                if name in known:
                    self._check_fields(inner, known[name], inner_path)
                elif name not in tag:
                    detail = _describe_unknown("field", name, known)
                    self._report(self.lines[inner_path], inner_path, detail)
        if isinstance(kind, msgspec.inspect.VarTupleType) and isinstance(value, list):
            for index, inner in enumerate(value):
                self._check_fields(inner, kind.item_type, f"{path}[{index}]")

    def _report_invalid(self, error: msgspec.ValidationError) -> None:
        text, _, where = str(error).partition(" - at ")
        steps = PATH_STEP.findall(where)
        path = ""
        for name, index in steps:
            inner = f"{path}.{name}" if path and name else name or f"{path}[{index}]"
            if inner not in self.lines:
                break
            path = inner
        line = self.lines.get(path, _get_line(self.node))
        missing = MISSING_FIELD.search(text)
        if missing:
            path = f"{path}.{missing[1]}" if path else missing[1]
            text = "is required and missing"
        self._report(line, path, text)

    def _find_type(self, value: Any) -> type[Declaration] | None:
        line = _get_line(self.node)
        if not isinstance(value, dict):
            self._report(line, "", "a document must hold fields such as kind and name")
            return None
        kind = value.get("kind")
        if not isinstance(kind, str):
            self._report(self.lines.get("kind", line), "kind", "is missing or not a word")
            return None
        if kind not in DECLARATIONS:
            detail = _describe_unknown("kind", kind, DECLARATIONS)
            self._report(self.lines["kind"], "kind", detail)
            return None
        return DECLARATIONS[kind]

    def decode(self) -> LocatedDeclaration | None:
        """Return the declaration, or None if problems were reported."""
        value = self.convert(self.node)
        kind = None if self.problems else self._find_type(value)
        if kind is None:
            return None
        self._check_fields(value, msgspec.inspect.type_info(kind), "")
        if self.problems:
            return None
        try:
            return LocatedDeclaration(
                _convert_declaration(value, kind), self.file, _get_line(self.node)
            )
        except msgspec.ValidationError as error:
            self._report_invalid(error)
        except (ValueError, TypeError, OverflowError, msgspec.MsgspecError) as error:
            self._report(_get_line(self.node), "", str(error))
        return None


def _convert_declaration(value: Any, kind: type[Declaration]) -> Declaration:
    """Return the declaration, checked to be JSON-encodable; encode each `Raw` field."""
    payload = value.get("payload")
    if isinstance(payload, dict):
        raw = {name: msgspec.Raw(msgspec.json.encode(inner)) for name, inner in payload.items()}
        value = {**value, "payload": raw}
    declared = msgspec.convert(value, kind)
    msgspec.json.encode(declared)
    return declared


def _compose(source: Source) -> Iterator[tuple[yaml.Node, _Loader]]:
    """Yield the non-empty YAML documents of a text."""
    if len(source.text) > MAX_CHARACTERS:
        detail = f"text is longer than {MAX_CHARACTERS} characters"
        raise DeclarationError([Problem(source.file, 1, "", detail)])
    try:
        loader = _Loader(source.text)
        while loader.check_node():
            node = loader.get_node()
            if node and not (isinstance(node, yaml.ScalarNode) and not node.value):
                yield node, loader
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        detail = f"not valid YAML: {error.problem or error.context}"
        raise DeclarationError([Problem(source.file, line, "", detail)]) from None
    except (yaml.YAMLError, ValueError) as error:
        detail = f"not valid YAML: {error}".replace("\n", " ")
        raise DeclarationError([Problem(source.file, 1, "", detail)]) from None


def read_declarations(sources: Iterable[Source]) -> list[LocatedDeclaration]:
    """Return the declarations of all sources, or raise one error that lists every problem."""
    declared: list[LocatedDeclaration] = []
    problems: list[Problem] = []
    first_by_name: dict[tuple[str, str], LocatedDeclaration] = {}
    for source in sources:
        try:
            for node, loader in _compose(source):
                document = _DocumentDecoder(source.file, node, loader)
                found = document.decode()
                problems += document.problems
                if found is None:
                    continue
                first = first_by_name.setdefault((get_kind(found.value), found.value.name), found)
                if first is not found:
                    detail = f"already declared at {first.file}:{first.line}"
                    problems.append(Problem(found.file, found.line, "name", detail))
                declared.append(found)
        except DeclarationError as error:
            problems += error.problems
    if problems:
        raise DeclarationError(problems)
    return declared


def list_dangling_references(declared: Iterable[Declaration]) -> list[str]:
    """Return a sentence for each reference to an undeclared team, zone or service."""
    values = list(declared)
    names = {(get_kind(value), value.name) for value in values}
    zones = {zone.name for value in values if get_kind(value) == "cell" for zone in value.zones}  # type: ignore[union-attr]
    found: list[str] = []
    for value in values:
        references = [
            ("team", getattr(value, "team", "")),
            ("service", getattr(value, "service", "")),
        ]
        constraints = getattr(value, "constraints", None)
        if constraints:
            references += [("service", name) for name in constraints.near + constraints.apart]
            references += [("zone", name) for name in constraints.zones]
        found += [
            f"{get_kind(value)} {value.name!r} names {kind} {name!r}, which is not declared"
            for kind, name in references
            if name and (name not in zones if kind == "zone" else (kind, name) not in names)
        ]
    return found
