"""The command line."""

import argparse
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
    return parser


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
