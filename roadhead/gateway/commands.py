"""`roadhead tenants ...`: the administration API from the command line."""

import http.client
import json
import os
import sys
from urllib.parse import quote

BASE = "/admin/v1"
KEY_VARIABLE = "ROADHEAD_ADMIN_KEY"
AMOUNTS = ("cpus", "cpus_max", "gpus", "gpus_max", "weight")


def add_to(verbs):
    """The verb `tenants` and its actions, for the command line's parser."""
    tenants = verbs.add_parser("tenants", help="create, change, suspend and remove tenants; their keys")
    actions = tenants.add_subparsers(dest="action", metavar="ACTION", required=True)

    def action(name, about, named=True):
        parser = actions.add_parser(name, help=about)
        parser.add_argument(
            "--address",
            default="127.0.0.1:8091",
            metavar="HOST:PORT",
            help="a gateway's address of administration",
        )
        parser.add_argument(
            "--key-file", metavar="FILE", help=f"file with an administrator's key; default: ${KEY_VARIABLE}"
        )
        parser.add_argument("--request-key", metavar="TEXT", help="the same text makes a repeat harmless")
        parser.add_argument("--json", action="store_true", help="print the answer as JSON")
        if named:
            parser.add_argument("name", metavar="NAME")
        return parser

    def described(parser):
        parser.add_argument(
            "--team",
            action="append",
            metavar="NAME[:cpus=N][:cpus_max=N][:weight=N]",
            help="a team; again for each. All teams are named anew",
        )
        for amount in ("cpus", "gpus", "submissions"):
            parser.add_argument(f"--{amount}", type=float)
        for amount in ("open-jobs", "waiting-tasks"):
            parser.add_argument(f"--{amount}", type=int)
        parser.add_argument("--weight", type=float)

    action("list", "all tenants", named=False).add_argument("--state")
    described(action("create", "a new tenant"))
    action("show", "one tenant")
    change = action("change", "other teams, limits or weight")
    described(change)
    change.add_argument("--version", type=int, help="only if this is the version; default: the present one")
    action("suspend", "nothing of it starts").add_argument(
        "--running", choices=("finish", "stop"), default="finish", help="what becomes of running work"
    )
    action("resume", "its work starts again")
    action("remove", "cancel all its jobs and remove it")
    action("usage", "what it holds now")
    action("keys", "its keys")
    add = action("add-key", "a new key, told once")
    add.add_argument("--scopes", default="read,submit,cancel")
    add.add_argument("--label", default="")
    rotate = action("rotate-key", "a new key in place of one")
    rotate.add_argument("id", type=int)
    rotate.add_argument("--overlap", type=float, metavar="SECONDS")
    action("revoke-key", "end a key at once").add_argument("id", type=int)
    root = actions.add_parser("root-key", help="the key of whoever holds the master secret")
    root.add_argument("--hosted", required=True, metavar="FILE")


class CommandError(Exception):
    pass


def main(args):
    """Exit code: 0 fine, 1 refused or not reached, 2 bad usage."""
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
        print("\n".join(_lines(answer)))
    return 0


def _key(args):
    if args.key_file:
        with open(args.key_file) as file:
            return file.read().strip()
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise ValueError(f"no key: --key-file or ${KEY_VARIABLE}")
    return key


class Caller:
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
            raise CommandError(f"{self._address}: no proper answer: {error!r}") from None
        finally:
            connection.close()
        if response.status >= 400:
            faults = "".join(f"\n  {fault}" for fault in answer.get("faults", ()))
            raise CommandError(f"{response.status} {answer.get('detail') or answer.get('title', '')}{faults}")
        return answer


def described(args):
    """The parts of a tenant that the arguments name. Raises ValueError."""
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
            raise ValueError(f"--team {text}: {field!r} is none of {', '.join(AMOUNTS)}")
        team[field] = float(value)
    return team


def _all_pages(call, args):
    tenants, after = [], "0"
    while after is not None:
        state = f"&state={quote(args.state)}" if args.state else ""
        page = call("GET", f"tenants?limit=500&after={after}{state}")
        tenants += page["tenants"]
        after = page["next"]
    return {"tenants": tenants}


def _change(call, args):
    """Limits that are not named stay as they are."""
    path = f"tenants/{quote(args.name, safe='')}"
    present = call("GET", path)
    body = described(args)
    if "limits" in body:
        body["limits"] = {**present["limits"], **body["limits"]}
    version = present["version"] if args.version is None else args.version
    return call("PATCH", path, body, {"If-Match": f'"{version}"'})


def _one(method, path="", body=lambda args: None):
    return lambda call, args: call(
        method, f"tenants/{quote(args.name, safe='')}{path.format(id=getattr(args, 'id', ''))}", body(args)
    )


ACTIONS = {
    "list": _all_pages,
    "create": lambda call, args: call("POST", "tenants", {"name": args.name, **described(args)}),
    "show": _one("GET"),
    "change": _change,
    "suspend": _one("POST", "/suspend", lambda args: {"running": args.running}),
    "resume": _one("POST", "/resume"),
    "remove": _one("DELETE"),
    "usage": _one("GET", "/usage"),
    "keys": _one("GET", "/keys"),
    "add-key": _one("POST", "/keys", lambda args: {"scopes": args.scopes.split(","), "label": args.label}),
    "rotate-key": _one(
        "POST", "/keys/{id}/rotate", lambda args: {} if args.overlap is None else {"overlap_s": args.overlap}
    ),
    "revoke-key": _one("DELETE", "/keys/{id}"),
}


def _lines(answer):
    """An answer for people: a row a thing, a line an amount."""
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
            yield "not known to be all: a controller is not heard, or is taking over"
    else:
        for name, value in answer.items():
            yield f"{name}: {value if isinstance(value, (str, int, float)) else json.dumps(value)}"
