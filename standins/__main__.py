"""Run one stand-in as a process: ``python -m standins KIND ADDRESS JSON``."""

import sys

import orjson
import uvloop

from standins.engine import EngineOptions, run_engine
from standins.fault_proxy import run_proxies
from standins.platform import PlatformOptions, run_platform
from standins.service import ServiceOptions, run_service


def main() -> None:
    """Start the stand-in that the arguments name."""
    kind, address, text = sys.argv[1:4]
    host, port = address.rsplit(':', 1)
    options = orjson.loads(text)
    if kind == 'engine':
        options['models'] = tuple(options.get('models', ('m1',)))
        runner = run_engine(EngineOptions(**options), host, int(port))
    elif kind == 'service':
        runner = run_service(ServiceOptions(**options), host, int(port))
    elif kind == 'platform':
        runner = run_platform(PlatformOptions(**options), host, int(port))
    else:
        runner = run_proxies(options, host, int(port))
    uvloop.run(runner)


main()
