"""The command line."""

import argparse
import json
import sys

from roadhead import __version__


def _parser():
    parser = argparse.ArgumentParser(
        prog="roadhead", description="A cluster scheduler: runs jobs on rented machines."
    )
    parser.add_argument("--version", action="version", version=f"roadhead {__version__}")
    parser.add_argument("--config", metavar="FILE", help="same as: serve --config FILE")
    verbs = parser.add_subparsers(dest="verb", metavar="COMMAND")

    serve = verbs.add_parser("serve", help="run a controller")
    check = verbs.add_parser("check", help="check settings without starting anything")
    for verb in (serve, check):
        verb.add_argument("--config", metavar="FILE", required=True, help="settings (JSON)")
        verb.add_argument(
            "--tuning", metavar="FILE",
            help="the operators' own settings (TOML); default: $ROADHEAD_TUNING",
        )
    def client(name, about):
        verb = verbs.add_parser(name, help=about)
        verb.add_argument("address", metavar="ADDRESS", help="a controller, as HOST:PORT")
        return verb

    client("submit", "submit a job").add_argument(
        "file", metavar="FILE", help="the job as JSON; - for standard input"
    )
    client("status", "show a job's state").add_argument("job", metavar="JOB")
    client("cancel", "cancel a job").add_argument("job", metavar="JOB")
    client("summary", "what is done, late and at risk; machines; duties behind")
    return parser


def call(address, method, path, body=None):
    """(status, answer) of a controller. Raises OSError."""
    import http.client

    import cbor2

    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        data = cbor2.dumps(body) if body is not None else None
        connection.request(method, path, data, {"Content-Type": "application/cbor"})
        response = connection.getresponse()
        data = response.read()
        return response.status, cbor2.loads(data) if data else {}
    except http.client.HTTPException as error:
        raise OSError(f"no proper answer: {error!r}") from None
    finally:
        connection.close()


def ask(args):
    """The verbs that talk to a running controller."""
    if args.verb == "submit":
        try:
            with open(args.file) if args.file != "-" else sys.stdin as file:
                job = json.load(file)
        except (OSError, ValueError) as error:
            print(f"roadhead: {args.file}: {error}", file=sys.stderr)
            return 2
        request = ("POST", "/v1/jobs", job)
    elif args.verb == "status":
        request = ("GET", f"/v1/jobs/{args.job}")
    elif args.verb == "cancel":
        request = ("POST", f"/v1/jobs/{args.job}/cancel", {})
    else:
        request = ("GET", "/v1/summary")
    try:
        status, answer = call(args.address, *request)
    except (OSError, ValueError) as error:
        print(f"roadhead: {args.address}: {error}", file=sys.stderr)
        return 1
    if status not in (200, 201):
        print(f"roadhead: {status} {answer.get('error', '')}".rstrip(), file=sys.stderr)
        return 1
    if args.verb == "summary":
        print(render_summary(answer))
    else:
        print(json.dumps(answer))
    return 0


def render_summary(answer):
    lines = [f"{'class':24} {'open':>6} {'done':>6} {'late':>6} {'at risk':>8}"]
    for row in answer["classes"]:
        lines.append(
            f"{row['class']:24} {row['open']:6} {row['done']:6} {row['late']:6} {row['atRisk']:8}"
        )
    lines.append(f"machines: {answer['machines']}, failing: {answer['failing']}")
    lines.append("controllers heard: " + ", ".join(answer["heard"]))
    lines += [f"behind: {duty}" for duty in answer["behind"]] or ["no duty is behind"]
    lines += [f"since start: {line}" for line in answer["troubles"]] or ["since start: no trouble"]
    return "\n".join(lines)


def serve(settings, tuning):
    import gc

    from roadhead.node import Node
    from roadhead.runtime.loop import Loop
    from roadhead.runtime.net import Net
    from roadhead.telemetry import set_up_logging

    set_up_logging(settings.label)
    loop = Loop()
    Node(loop, Net(loop), settings, tuning).start()
    gc.freeze()
    loop.run()
    return 0


def main(argv=None):
    parser = _parser()
    args = parser.parse_args(argv)
    if args.verb is None and args.config is None:
        parser.print_help()
        return 2
    if args.verb not in (None, "serve", "check"):
        return ask(args)
    from roadhead.settings import SettingsError, load

    try:
        settings, tuning = load(args.config, getattr(args, "tuning", None))
    except SettingsError as error:
        for fault in error.faults:
            print(f"roadhead: {fault}", file=sys.stderr)
        return 2
    if args.verb == "check":
        print(f"{settings.label}: settings are fine")
        return 0
    return serve(settings, tuning)
