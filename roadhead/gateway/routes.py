"""Routes of an API: matched against requests, and described in its OpenAPI document."""

from typing import NamedTuple

import msgspec

from roadhead import __version__
from roadhead.gateway.answers import ProblemError
from roadhead.gateway.types import Problem


class Route(NamedTuple):
    """A path with its method.

    Variables in `path` are in braces; `takes` and `gives` are the body's and the answer's message types or
    None.
    """

    method: str
    path: str
    name: str
    scope: str | None
    takes: type | None
    gives: type | None
    status: int
    about: str
    query: tuple = ()


class Routes:
    """All routes of an API."""

    def __init__(self, routes):
        self._routes = [(route, route.path.strip("/").split("/")) for route in routes]

    def find(self, request):
        """Returns (Route, values of its variables). Raises ProblemError 404 or 405."""
        path_exists = False
        for route, parts in self._routes:
            if len(parts) != len(request.parts):
                continue
            values = {}
            for wanted, part in zip(parts, request.parts, strict=True):
                if wanted.startswith("{"):
                    values[wanted[1:-1]] = part
                elif wanted != part:
                    break
            else:
                if route.method == request.method:
                    return route, values
                path_exists = True
        raise ProblemError(
            405 if path_exists else 404, "no such path" if not path_exists else "not with this method"
        )

    def document(self, title):
        """Returns the OpenAPI 3.1 document, generated from the routes and their message types."""
        kinds = [Problem]
        for route, _parts in self._routes:
            kinds += [kind for kind in (route.takes, route.gives) if kind not in (None, *kinds)]
        schemas, components = msgspec.json.schema_components(
            kinds, ref_template="#/components/schemas/{name}"
        )
        schema_of = dict(zip(kinds, schemas, strict=True))
        paths = {}
        for route, parts in self._routes:
            operation = {
                "operationId": route.name,
                "summary": route.about,
                "parameters": [
                    *(
                        {"name": part[1:-1], "in": "path", "required": True, "schema": {"type": "string"}}
                        for part in parts
                        if part.startswith("{")
                    ),
                    *({"name": name, "in": "query", "schema": {"type": "string"}} for name in route.query),
                ],
                "responses": {
                    str(route.status): {"description": "done", **self._content(schema_of, route.gives)},
                    "default": {
                        "description": "a problem",
                        "content": {"application/problem+json": {"schema": schema_of[Problem]}},
                    },
                },
            }
            if route.takes is not None:
                operation["requestBody"] = self._content(schema_of, route.takes)
            if route.scope is not None:
                operation["security"] = [{"key": []}]
                operation["description"] = f"Scope: {route.scope}."
            paths.setdefault(route.path, {})[route.method.lower()] = operation
        return {
            "openapi": "3.1.0",
            "info": {"title": title, "version": __version__},
            "paths": paths,
            "components": {
                "schemas": components,
                "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
            },
        }

    @staticmethod
    def _content(schema_of, kind):
        if kind is None:
            return {}
        return {
            "content": {
                media: {"schema": schema_of[kind]} for media in ("application/json", "application/cbor")
            }
        }
