"""The command `roadhead tenants`: a command line client of the administration API."""

import http.client
import json
import os
import sys
from urllib.parse import quote

BASE = "/admin/v1"
KEY_VARIABLE = "ROADHEAD_ADMIN_KEY"
AMOUNTS = ("cpus", "cpus_max", "gpus", "gpus_max", "weight")


def add_to(verbs):
    """Adds the command `tenants` and its actions to the command line parser."""
    tenants = verbs.add_parser("tenants", help="create, change, suspend and remove tenants; their keys")
    actions = tenants.add_subparsers(dest="action", metavar="ACTION", required=True)

    def action(name, about, named=True):
        parser = actions.add_parser(name, help=about)
        parser.add_argument(
            "--address",
            default="127.0.0.1:8091",
            metavar="HOST:PORT",
            help="administration address of a gateway",
        )
        parser.add_argument(
            "--key-file", metavar="FILE", help=f"file with an administrator's key; default: ${KEY_VARIABLE}"
        )
        parser.add_argument(
            "--request-key",
            metavar="TEXT",
            help="idempotency key: a repeated request with the same key has no further effect",
        )
        parser.add_argument("--json", action="store_true", help="print the answer as JSON")
        if named:
            parser.add_argument("name", metavar="NAME")
        return parser

    def add_tenant_options(parser):
        parser.add_argument(
            "--team",
            action="append",
            metavar="NAME[:cpus=N][:cpus_max=N][:weight=N]",
            help="a team; repeat the option for each. The teams replace all present ones",
        )
        for amount in ("cpus", "gpus", "submissions"):
            parser.add_argument(f"--{amount}", type=float)
        for amount in ("open-jobs", "waiting-tasks"):
            parser.add_argument(f"--{amount}", type=int)
        parser.add_argument("--weight", type=float)

    action("list", "list all tenants", named=False).add_argument("--state")
    add_tenant_options(action("create", "create a tenant"))
    action("show", "show a tenant")
    change = action("change", "change teams, limits or weight")
    add_tenant_options(change)
    change.add_argument(
        "--version", type=int, help="version that the tenant must have; default: the current one"
    )
    action("suspend", "suspend a tenant: none of its tasks starts").add_argument(
        "--running", choices=("finish", "stop"), default="finish", help="what happens to running work"
    )
    action("resume", "let a suspended tenant's tasks start again")
    action("remove", "cancel all jobs of a tenant and remove it")
    action("usage", "show what a tenant uses now")
    action("keys", "list a tenant's keys")
    add = action("add-key", "create a key; it is shown only once")
    add.add_argument("--scopes", default="read,submit,cancel")
    add.add_argument("--label", default="")
    rotate = action("rotate-key", "replace a key by a new one")
    rotate.add_argument("id", type=int)
    rotate.add_argument("--overlap", type=float, metavar="SECONDS")
    action("revoke-key", "revoke a key at once").add_argument("id", type=int)
    root = actions.add_parser("root-key", help="print the root key, derived from the master secret")
    root.add_argument("--hosted", required=True, metavar="FILE")


class CommandError(Exception):
    """The request was refused, or there was no valid response."""

    pass


def main(args):
    """Runs an action. Returns the exit code: 0 success, 1 refused or unreachable, 2 invalid usage."""
    if args.action == "root-key":
        from roadhead.settings import SettingsError
        from roadhead.tenants.keys import Secrets
        from roadhead.tenants.settings import load

        try:
            print(Secrets(load(args.hosted).master).root_key())
        except SettingsError as error:
            for fault in error.faults:
                print(f"roadhead: {fault}", file=sys.stderr)
            return 2
        return 0
    try:
        caller = Caller(args.address, _key(args), args.request_key)
        answer = ACTIONS[args.action](caller, args)
    except ValueError as error:
        print(f"roadhead: {error}", file=sys.stderr)
        return 2
    except (CommandError, OSError) as error:
        print(f"roadhead: {error}", file=sys.stderr)
        return 1
    if args.json:
        print(json.dumps(answer))
    else:
        print("\n".join(_format_answer(answer)))
    return 0


def _key(args):
    if args.key_file:
        with open(args.key_file) as file:
            return file.read().strip()
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise ValueError(f"no key given: use --key-file or ${KEY_VARIABLE}")
    return key


class Caller:
    """Sends requests to the administration API and returns decoded answers."""

    def __init__(self, address, key, request_key):
        self._address = address
        self._headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        if request_key:
            self._headers["Idempotency-Key"] = request_key

    def __call__(self, method, path, body=None, headers=None):
        connection = http.client.HTTPConnection(self._address, timeout=15)
        try:
            connection.request(
                method,
                f"{BASE}/{path}",
                json.dumps(body) if body is not None else None,
                {**self._headers, **(headers or {})},
            )
            response = connection.getresponse()
            data = response.read()
            answer = json.loads(data) if data else {}
        except (http.client.HTTPException, ValueError) as error:
            raise CommandError(f"{self._address}: invalid response: {error!r}") from None
        finally:
            connection.close()
        if response.status >= 400:
            faults = "".join(f"\n  {fault}" for fault in answer.get("faults", ()))
            raise CommandError(f"{response.status} {answer.get('detail') or answer.get('title', '')}{faults}")
        return answer


def tenant_fields(args):
    """Returns the parts of a tenant given as arguments. Raises ValueError."""
    body = {}
    if args.team is not None:
        body["teams"] = [_team(text) for text in args.team]
    limits = {
        name: value
        for name in ("cpus", "gpus", "submissions", "open_jobs", "waiting_tasks")
        if (value := getattr(args, name)) is not None
    }
    if limits:
        body["limits"] = limits
    if args.weight is not None:
        body["weight"] = args.weight
    return body


def _team(text):
    name, *amounts = text.split(":")
    team = {"name": name}
    for amount in amounts:
        field, _, value = amount.partition("=")
        if field not in AMOUNTS:
            raise ValueError(f"--team {text}: unknown field {field!r}, expected one of {', '.join(AMOUNTS)}")
        team[field] = float(value)
    return team


def _list_all(call, args):
    tenants, after = [], "0"
    while after is not None:
        state = f"&state={quote(args.state)}" if args.state else ""
        page = call("GET", f"tenants?limit=500&after={after}{state}")
        tenants += page["tenants"]
        after = page["next"]
    return {"tenants": tenants}


def _change(call, args):
    """Changes a tenant; limits that are not given keep their values."""
    path = f"tenants/{quote(args.name, safe='')}"
    present = call("GET", path)
    body = tenant_fields(args)
    if "limits" in body:
        body["limits"] = {**present["limits"], **body["limits"]}
    version = present["version"] if args.version is None else args.version
    return call("PATCH", path, body, {"If-Match": f'"{version}"'})


def _tenant_request(method, path="", body=lambda args: None):
    """Returns an action that sends one request about the named tenant."""
    return lambda call, args: call(
        method, f"tenants/{quote(args.name, safe='')}{path.format(id=getattr(args, 'id', ''))}", body(args)
    )


ACTIONS = {
    "list": _list_all,
    "create": lambda call, args: call("POST", "tenants", {"name": args.name, **tenant_fields(args)}),
    "show": _tenant_request("GET"),
    "change": _change,
    "suspend": _tenant_request("POST", "/suspend", lambda args: {"running": args.running}),
    "resume": _tenant_request("POST", "/resume"),
    "remove": _tenant_request("DELETE"),
    "usage": _tenant_request("GET", "/usage"),
    "keys": _tenant_request("GET", "/keys"),
    "add-key": _tenant_request(
        "POST", "/keys", lambda args: {"scopes": args.scopes.split(","), "label": args.label}
    ),
    "rotate-key": _tenant_request(
        "POST", "/keys/{id}/rotate", lambda args: {} if args.overlap is None else {"overlap_s": args.overlap}
    ),
    "revoke-key": _tenant_request("DELETE", "/keys/{id}"),
}


def _format_answer(answer):
    """Yields an answer as text for people: a table, or one line per field."""
    if "tenants" in answer:
        yield f"{'name':32} {'number':>6} {'state':10} {'version':>7}  teams"
        for row in answer["tenants"]:
            names = " ".join(team["name"] for team in row["teams"])
            yield f"{row['name']:32} {row['number']:6} {row['state']:10} {row['version']:7}  {names}"
    elif "keys" in answer:
        yield f"{'id':>4} {'until':>12} {'scopes':24} label"
        for row in answer["keys"]:
            until = f"{row['until']:.0f}" if row.get("until") else "-"
            yield f"{row['id']:4} {until:>12} {','.join(row['scopes']):24} {row['label']}"
    elif "classes" in answer:
        yield f"{'team':32} {'cpus':>8} {'gpus':>6} {'tasks':>7} {'open':>6} {'waiting':>8}"
        for row in answer["teams"]:
            yield (
                f"{row['team']:32} {row['cpus']:8g} {row['gpus']:6g} {row['tasks']:7} "
                f"{row['open_jobs']:6} {row['waiting_tasks']:8}"
            )
        if not answer["complete"]:
            yield "possibly incomplete: a controller did not answer, or a failover is in progress"
    else:
        for name, value in answer.items():
            yield f"{name}: {value if isinstance(value, (str, int, float)) else json.dumps(value)}"
