"""The command line: `serve` runs a controller, `submit`, `status` and others ask a running one.

Modules are imported inside the functions, so that a controller loads only what it needs.
"""

import argparse
import json
import os
import sys
import time

from roadhead import __version__


def _share(text):
    """Returns a share from 0 to 1. Raises argparse.ArgumentTypeError for any other text."""
    try:
        share = float(text)
    except ValueError:
        share = -1.0
    if not 0.0 <= share <= 1.0:
        raise argparse.ArgumentTypeError(f"not a share from 0 to 1: {text!r}")
    return share


def _parser(hosting):
    """Returns the argument parser; `hosting`: whether it includes the verbs for administering tenants."""
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
            "--tuning",
            metavar="FILE",
            help="the operators' own settings (TOML); default: $ROADHEAD_TUNING",
        )
        verb.add_argument(
            "--hosted",
            metavar="FILE",
            help="serve tenants, as this file says (TOML); default: $ROADHEAD_HOSTED",
        )
    gateway = verbs.add_parser("gateway", help="run a gateway for tenants and administrators")
    gateway.add_argument("--hosted", metavar="FILE", required=True, help="its settings (TOML)")
    if hosting:
        from roadhead.gateway.commands import add_to

        add_to(verbs)
    local = verbs.add_parser("local", help="a whole service on this machine, to try it")
    local.add_argument("--run", metavar="FILE", help="run the jobs of a file (TOML), then stop")
    local.add_argument("--keep", metavar="DIR", help="keep everything in DIR; without --run: serve on")
    local.add_argument("--crash", metavar="N", type=int, default=0, help="kill controllers N times meanwhile")
    local.add_argument(
        "--late-copies",
        metavar="SHARE",
        type=_share,
        default=0.0,
        help="of that share of direct commands that a worker has answered copies arrive later",
    )
    local.add_argument("--timeout", metavar="SECONDS", type=float, default=50.0, help="for --run")
    scale = verbs.add_parser("scale", help="a cluster with hollow workers on this machine, measured")
    scale.add_argument("file", metavar="FILE", help="sizes, load and failures (TOML)")
    scale.add_argument("--report", metavar="FILE", help="write the figures there, as JSON")
    scale.add_argument("--keep", metavar="DIR", help="keep logs and settings in DIR")
    for name in ("local-part", "scale-part"):
        verbs.add_parser(name).add_argument("arguments", nargs="+")

    def client(name, about):
        verb = verbs.add_parser(name, help=about)
        verb.add_argument("address", metavar="ADDRESS", help="a controller, as HOST:PORT")
        verb.add_argument(
            "--hosted",
            metavar="FILE",
            help="of a hosted service: whose secret signs "
            "what only gateways and operators may ask; default: $ROADHEAD_HOSTED",
        )
        return verb

    client("submit", "submit a job").add_argument(
        "file", metavar="FILE", help="the job as JSON; - for standard input"
    )
    client("status", "show a job's state").add_argument("job", metavar="JOB")
    client("cancel", "cancel a job").add_argument("job", metavar="JOB")
    client("summary", "what is done, late and at risk; machines; duties behind")
    client("shares", "which controller is home to how many machines, and what moved").add_argument(
        "--json", action="store_true", help="as JSON"
    )
    return parser


def call(address, method, path, body=None, hosted=None):
    """Sends a request to a controller and returns (status, answer).

    `hosted`: the settings file of a hosted service, with whose secret the request is signed. Raises OSError.
    """
    import http.client

    import cbor2

    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        data = cbor2.dumps(body) if body is not None else None
        headers = {"Content-Type": "application/cbor"}
        if hosted:
            from roadhead.tenants.keys import Secrets
            from roadhead.tenants.settings import load

            headers["Roadhead-Signature"] = Secrets(load(hosted).master).sign(
                method, path, data or b"", time.time()
            )
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, cbor2.loads(data) if data else {}
    except http.client.HTTPException as error:
        raise OSError(f"no proper answer: {error!r}") from None
    finally:
        connection.close()


def ask(args):
    """Runs the verbs that ask a running controller. Returns the exit status."""
    from roadhead.settings import SettingsError

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
        request = ("GET", f"/v1/{args.verb}")
    try:
        status, answer = call(args.address, *request, hosted=args.hosted or os.environ.get("ROADHEAD_HOSTED"))
    except (OSError, ValueError) as error:
        print(f"roadhead: {args.address}: {error}", file=sys.stderr)
        return 1
    except SettingsError as error:
        print("\n".join(f"roadhead: {fault}" for fault in error.faults), file=sys.stderr)
        return 2
    if status not in (200, 201):
        print(f"roadhead: {status} {answer.get('error', '')}".rstrip(), file=sys.stderr)
        return 1
    if args.verb == "summary":
        print(render_summary(answer))
    elif args.verb == "shares" and not args.json:
        print(render_shares(answer))
    else:
        print(json.dumps(answer))
    return 0


def render_summary(answer):
    """Returns the answer to `/v1/summary` as text."""
    lines = [f"{'class':24} {'open':>6} {'done':>6} {'late':>6} {'at risk':>8}"]
    for row in answer["classes"]:
        lines.append(f"{row['class']:24} {row['open']:6} {row['done']:6} {row['late']:6} {row['atRisk']:8}")
    least = answer["leastServed"]
    if least is not None:
        lines.append(f"least served: {least['class']}, {least['share']:.0%} of its jobs are done")
    lines.append(f"machines: {answer['machines']}, failing: {answer['failing']}")
    lines.append("controllers heard: " + ", ".join(answer["heard"]))
    lines += [f"behind: {duty}" for duty in answer["behind"]] or ["no duty is behind"]
    lines += [f"since start: {line}" for line in answer["troubles"]] or ["since start: no trouble"]
    return "\n".join(lines)


def render_shares(answer):
    """Returns the answer to `/v1/shares` as text."""
    lines = [f"{'home':24} {'shares':>6} {'machines':>8}"]
    for row in answer["homes"]:
        shares = "-" if row["shares"] is None else row["shares"]
        lines.append(f"{row['label']:24} {shares:>6} {row['machines']:8}")
    lines.append(f"term {answer['term']}")
    gate = answer.get("format")
    if gate is not None:
        lines.append(
            f"format {gate['format']}"
            + (", all that this version knows" if gate["open"] else f" of {gate['knows']}")
        )
        for member in gate["members"]:
            if member["format"] is None:
                lines.append(f"{member['label']}: not seen yet")
            elif not gate["open"]:
                age = "new" if member["format"] >= gate["knows"] else "old"
                lines.append(
                    f"{member['label']}: {age}, format {member['format']}, since {member['sinceS']:.0f} s"
                )
    for change in answer["changes"]:
        why = "given" if change["planned"] else "lost"
        lines.append(
            f"{change['agoS']:.1f} s ago, term {change['term']}: {change['shares']} shares from "
            f"{change['from']} to {change['to']} ({why})"
        )
    return "\n".join(lines)


def local(args):
    """Runs a whole cluster on this machine. Returns the exit status."""
    import tempfile

    from roadhead.local import cluster

    if not args.run and not args.keep:
        print("roadhead: local: --run FILE or --keep DIR", file=sys.stderr)
        return 2
    args.directory = tempfile.mkdtemp(prefix="roadhead-") if not args.keep else None
    try:
        return cluster.main(args, [os.path.abspath(sys.argv[0])])
    except cluster.ClusterError as error:
        print(f"roadhead: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 1


def gateway(path):
    """Runs a gateway with the settings file `path`. Returns the exit status."""
    from roadhead.gateway.gateway import Gateway
    from roadhead.runtime.loop import Loop
    from roadhead.runtime.net import Net
    from roadhead.telemetry import set_up_logging
    from roadhead.tenants.settings import load

    hosted = load(path)
    set_up_logging("gateway")
    loop = Loop()
    process = Gateway(loop, Net(loop), hosted)
    failed = _stop_if_hopeless(process, loop)
    process.start()
    loop.run()
    return 1 if failed else 0


def _stop_if_hopeless(process, loop):
    """Stops the loop once the process has given up. Returns a list that isn't empty from then on."""
    failed = []

    def stop():
        failed.append(True)
        loop.stop()

    process.on_hopeless = stop
    return failed


def desk_of(loop, path):
    """Returns the controller's Desk for tenants if `path` names a file with its settings, else None."""
    if not path:
        return None
    from roadhead.tenants.admission_controller import TenantAdmissionController
    from roadhead.tenants.settings import load

    return TenantAdmissionController(loop, load(path), time.time)


def serve(settings, tuning, hosted):
    """Runs a controller until it is asked to end. Returns the exit status."""
    import gc
    import signal

    from roadhead.node import Node
    from roadhead.runtime.loop import Loop
    from roadhead.runtime.net import Net
    from roadhead.telemetry import set_up_logging

    set_up_logging(settings.label)
    loop = Loop()
    node = Node(loop, Net(loop), settings, tuning, hosted=desk_of(loop, hosted))
    failed = _stop_if_hopeless(node, loop)
    node.start()
    # The loop notices the callback at its next timer, at most one heartbeat later.
    signal.signal(signal.SIGTERM, lambda *_: loop.call_soon(node.leave, loop.stop))
    signal.signal(signal.SIGUSR1, lambda *_: loop.call_soon(node.decisions.dump, _to_standard_error))
    gc.freeze()
    loop.run()
    return 1 if failed else 0


def _to_standard_error(line):
    print(line, file=sys.stderr)


def main(argv=None):
    """Runs the command line. Returns the exit status."""
    from roadhead.telemetry import LogLevelError

    try:
        return _main(argv)
    except LogLevelError as error:
        print(f"roadhead: {error}", file=sys.stderr)
        return 2


def _main(argv):
    words = sys.argv[1:] if argv is None else argv
    parser = _parser(hosting=not words or words[0] != "--config")
    args = parser.parse_args(words)
    if args.verb is None and args.config is None:
        parser.print_help()
        return 2
    if args.verb == "tenants":
        from roadhead.gateway import commands

        return commands.main(args)
    if args.verb == "local":
        return local(args)
    if args.verb == "scale":
        from roadhead.scale import command

        return command.main(args, [os.path.abspath(sys.argv[0])])
    if args.verb == "scale-part":
        from roadhead.scale import command

        return command.run_process(args.arguments)
    if args.verb == "local-part":
        from roadhead.local import processes

        return processes.main(*args.arguments)
    if args.verb not in (None, "serve", "check", "gateway"):
        return ask(args)
    from roadhead.settings import SettingsError, load

    hosted = getattr(args, "hosted", None) or os.environ.get("ROADHEAD_HOSTED")
    try:
        if args.verb == "gateway":
            return gateway(hosted)
        settings, tuning = load(args.config, getattr(args, "tuning", None))
        if args.verb == "check":
            desk_of(None, hosted)
            print(f"{settings.label}: settings are fine")
            return 0
        return serve(settings, tuning, hosted)
    except SettingsError as error:
        for fault in error.faults:
            print(f"roadhead: {fault}", file=sys.stderr)
        return 2
